/** Decides whether a failed attempt is followed by another on a sibling. */

/** What is known when an attempt has failed. */
export interface FailedAttempt {
  readonly shardId: string;
  /** Attempts for the shard so far, this one included. */
  readonly attempts: number;
  /** Whether the back end may have begun to run it. */
  readonly mayHaveRun: boolean;
  readonly repeatable: boolean;
  /** To the request's deadline. Milliseconds. */
  readonly remaining: number;
}

/** One service's retries. */
export interface RetryPolicy {
  /** A first attempt was sent; earns budget. */
  recordFirstAttempt(): void;

  /**
   * Wait before the retry, or undefined for no retry. Takes from the budget.
   * Never allows one when a not repeatable request may have run. Milliseconds.
   */
  retryDelay(attempt: FailedAttempt): number | undefined;
}
