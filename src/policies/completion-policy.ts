/** Decides whether a query still waits for shards that have not replied. */

/** Where one query stands. Times in milliseconds. */
export interface QueryProgress {
  readonly shardCount: number;
  readonly reached: number;
  /** Shards that can still reply. */
  readonly pending: number;
  readonly requiredCoverage: number;
  readonly elapsed: number;
  readonly remaining: number;
}

/** One way of deciding. */
export interface CompletionPolicy {
  /**
   * How much longer to wait for a pending shard once coverage suffices:
   * 0 returns now, Infinity waits to the deadline. Asked again after every reply.
   */
  furtherWait(progress: QueryProgress): number;
}
