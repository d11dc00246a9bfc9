/** Exponential backoff for a peer that failed, doubled with each consecutive failure. */

const FIRST_BACKOFF_MS = 150;
const MAXIMUM_BACKOFF_MS = 4_000;

/** Backoff state of one peer. Times are clock readings in milliseconds. */
export class FailureBackoff {
  private backoffUntil = -Infinity;
  private failures = 0;

  recordFailure(now: number): void {
    const backoff = Math.min(FIRST_BACKOFF_MS * 2 ** this.failures, MAXIMUM_BACKOFF_MS);
    this.failures += 1;
    this.backoffUntil = now + backoff;
  }

  /** Ends the backoff: the peer has answered. */
  recordSuccess(): void {
    this.failures = 0;
    this.backoffUntil = -Infinity;
  }

  isBackingOff(now: number): boolean {
    return now < this.backoffUntil;
  }
}
