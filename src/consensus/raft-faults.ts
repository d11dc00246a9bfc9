/**
 * Switches that break one rule of the protocol each, so that tests can be seen
 * to fail without it. Set from code only; no settings file reaches them.
 */
export interface RaftFaults {
  /** Acknowledges records, and counts the leader's own, before they are synced. */
  readonly acknowledgeBeforeSync?: boolean;
  /** Grants a vote in a term in which another candidate already got it. */
  readonly voteTwice?: boolean;
  /** Accepts a member whatever data folder it comes with. */
  readonly ignoreIncarnation?: boolean;
  /** Commits records of earlier terms by counting copies. */
  readonly commitOldTermEntries?: boolean;
  /** Grants votes to candidates whose log is behind. */
  readonly ignoreLogOrder?: boolean;
  /** Answers reads at a leader without confirming it by a quorum. */
  readonly skipReadConfirmation?: boolean;
}

export const NO_FAULTS: RaftFaults = {};
