/** When refused requests of one tenant are told to come back, at one gateway. Load: a tenant far above its limit. */

/** Refused requests are not told to come back later than this many windows. */
export const MAXIMUM_RETRY_AFTER_WINDOWS = 2;
/** A time that is over would have the caller back at once. Milliseconds. */
const MINIMUM_RETRY_AFTER_MS = 1;

/** What the owner last told. Milliseconds. */
export interface RetryAfterTimes {
  /** Until the tenant has a token again. */
  readonly nextTokenMs: number;
  /** When the first of the refused requests may come back, and between two of them. */
  readonly retryAfterMs: number;
  readonly retrySpacingMs: number;
}

/** See the module comment. Each has a time of its own, so that they do not all return at once. */
export class RetryAfterSchedule {
  private nextTokenAt = -Infinity;
  private nextRetryAt = -Infinity;
  private spacingMs = 0;

  /** Goes by what the owner told at `now`. */
  update({ nextTokenMs, retryAfterMs, retrySpacingMs }: RetryAfterTimes, now: number): void {
    this.nextTokenAt = now + nextTokenMs;
    this.nextRetryAt = now + retryAfterMs;
    this.spacingMs = retrySpacingMs;
  }

  /** Whether the tenant has no token yet for certain. */
  isTokenUnavailable(now: number): boolean {
    return now < this.nextTokenAt;
  }

  /** Behind those told before, and not later than `horizonMs` unless the next token is. Milliseconds from now. */
  reserve(horizonMs: number, now: number): number {
    const latest = Math.max(this.nextTokenAt, now + horizonMs);
    const retryAt = Math.min(Math.max(this.nextRetryAt, this.nextTokenAt), latest);
    this.nextRetryAt = retryAt + this.spacingMs;
    return Math.max(MINIMUM_RETRY_AFTER_MS, retryAt - now);
  }
}
