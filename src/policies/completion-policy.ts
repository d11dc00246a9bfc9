/** Decides whether a query still waits for shards that have not replied. */

/** Where one query stands. Times in milliseconds. */
export interface QueryProgress {
  readonly shardCount: number;
  readonly reached: number;
  /** Shards that can still reply. */
  readonly pending: number;
  readonly requiredCoverage: number;
  /** Since the request was received. */
  readonly elapsed: number;
  /** Since the shards were asked. */
  readonly sinceAsked: number;
  readonly remaining: number;
}

/** One way of deciding; learns from every query of one service. */
export interface CompletionPolicy {
  /** A shard answered `sinceAsked` milliseconds after it was asked, retries and hedges included. */
  recordReply(sinceAsked: number): void;

  /** A query ended without waiting for a shard asked `sinceAsked` milliseconds before. */
  recordUnfinished(sinceAsked: number): void;

  /**
   * How much longer to wait for a pending shard once coverage suffices:
   * 0 returns now, Infinity waits to the deadline. Asked again after every reply.
   */
  furtherWait(progress: QueryProgress): number;
}
