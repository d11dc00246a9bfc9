/** What became of a proposal. Sent in words, and a metric label. */
export enum OutcomeKind {
  /** Committed and applied. */
  Committed = 'committed',
  /** Certainly never committed. */
  NotProposed = 'not_proposed',
  /** Wrong in itself: certainly never committed, and of no use to try again. */
  Rejected = 'rejected',
  /** May or may not have been committed, or may still be. */
  Unknown = 'unknown',
}
