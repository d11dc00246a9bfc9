/**
 * Assigns the Retry-After times of one tenant's refused requests at one gateway. Matters for a
 * tenant far above its limit.
 */

/** Maximum retry time of a refused request, in windows, unless the next token is due later. */
export const MAXIMUM_RETRY_AFTER_WINDOWS = 2;
/** A retry time in the past would make the caller retry immediately. */
const MINIMUM_RETRY_AFTER_MS = 1;

/** Retry times from the owner's last response, in milliseconds. */
export interface RetryAfterTimes {
  /** Time until the tenant has a token again. */
  readonly nextTokenMs: number;
  /** Time until the first of the refused requests may be retried, and the spacing between retries. */
  readonly retryAfterMs: number;
  readonly retrySpacingMs: number;
}

/** Gives each refused request a retry time of its own, so that callers don't all retry at once. */
export class RetryAfterSchedule {
  private nextTokenAt = -Infinity;
  private nextRetryAt = -Infinity;
  private spacingMs = 0;

  /** Applies the times of an owner's response that arrived at `now`. */
  update({ nextTokenMs, retryAfterMs, retrySpacingMs }: RetryAfterTimes, now: number): void {
    this.nextTokenAt = now + nextTokenMs;
    this.nextRetryAt = now + retryAfterMs;
    this.spacingMs = retrySpacingMs;
  }

  /** Whether the owner's next token for the tenant is certainly not due yet. */
  isTokenUnavailable(now: number): boolean {
    return now < this.nextTokenAt;
  }

  /**
   * Milliseconds until the next free retry time, behind those assigned before. At most `horizonMs`,
   * unless the next token is due later.
   */
  reserve(horizonMs: number, now: number): number {
    const latest = Math.max(this.nextTokenAt, now + horizonMs);
    const retryAt = Math.min(Math.max(this.nextRetryAt, this.nextTokenAt), latest);
    this.nextRetryAt = retryAt + this.spacingMs;
    return Math.max(MINIMUM_RETRY_AFTER_MS, retryAt - now);
  }
}
