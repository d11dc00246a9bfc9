/** Decides whether a query waits for shards that have not replied. */

/** Progress of one query. Times in milliseconds. */
export interface QueryProgress {
  readonly shardCount: number;
  /** Shards that have replied. */
  readonly reached: number;
  /** Shards that can still reply. */
  readonly pending: number;
  /** Share of the shards that a result must cover, 0 to 1. */
  readonly requiredCoverage: number;
  /** Time since the request was received. */
  readonly elapsed: number;
  /** Time since the query was sent to the shards. */
  readonly sinceAsked: number;
  /** Time to the deadline. */
  readonly remaining: number;
}

/** One instance per service; it observes every query of that service. */
export interface CompletionPolicy {
  /** A shard replied `sinceAsked` milliseconds after the query was sent to it, retries and hedges included. */
  recordReply(sinceAsked: number): void;

  /** A query ended without the reply of a shard to which it was sent `sinceAsked` milliseconds before. */
  recordUnfinished(sinceAsked: number): void;

  /**
   * How much longer to wait for pending shards once the required coverage is reached:
   * 0 returns now, Infinity waits until the deadline. Called again after every reply. Milliseconds.
   */
  furtherWait(progress: QueryProgress): number;
}
