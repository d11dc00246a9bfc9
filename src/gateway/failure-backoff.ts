/** How long a peer that could not be used is left alone: longer with each failure in a row. */

/** First and longest rest. Milliseconds. */
const FIRST_BACKOFF_MS = 150;
const MAXIMUM_BACKOFF_MS = 4_000;

/** See the module comment. Times are clock readings. */
export class FailureBackoff {
  private backoffUntil = -Infinity;
  private failures = 0;

  recordFailure(now: number): void {
    const backoff = Math.min(FIRST_BACKOFF_MS * 2 ** this.failures, MAXIMUM_BACKOFF_MS);
    this.failures += 1;
    this.backoffUntil = now + backoff;
  }

  /** It answered: it can be used. */
  recordSuccess(): void {
    this.failures = 0;
    this.backoffUntil = -Infinity;
  }

  isBackingOff(now: number): boolean {
    return now < this.backoffUntil;
  }
}
