/** Decides whether a failed attempt is retried on another replica of its shard. */

/** A failed attempt. */
export interface FailedAttempt {
  readonly shardId: string;
  /** Attempts of the request for this shard so far, the failed one included. */
  readonly attempts: number;
  /** Whether the back end may have begun to run the attempt. */
  readonly mayHaveRun: boolean;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Time to the request's deadline. Milliseconds. */
  readonly remaining: number;
}

/** One instance per service. */
export interface RetryPolicy {
  /** A first attempt was sent; credits the retry budget. */
  recordFirstAttempt(): void;

  /**
   * Backoff before the retry, or undefined for no retry; a retry debits the budget.
   * A request that is not repeatable and may have run is never retried. Milliseconds.
   */
  retryDelay(attempt: FailedAttempt): number | undefined;
}
