/** When refused requests of one tenant are told to come back, at one gateway. Load: a tenant far above its limit. */

/** Refused requests are not told to come back later than this many windows. */
export const LONGEST_RETURN_WINDOWS = 2;
/** A time that is over would have the caller back at once. Milliseconds. */
const SHORTEST_RETURN_MS = 1;

/** What the owner last told. Milliseconds. */
export interface ToldReturns {
  /** Until the tenant has a token again. */
  readonly nextTokenMs: number;
  /** When the first of the refused requests may come back, and between two of them. */
  readonly retryAfterMs: number;
  readonly retrySpacingMs: number;
}

/** See the module comment. Each has a time of its own, so that they do not all return at once. */
export class ReturnSchedule {
  private nextTokenAt = -Infinity;
  private returnAt = -Infinity;
  private spacingMs = 0;

  /** Goes by what the owner told at `now`. */
  use({ nextTokenMs, retryAfterMs, retrySpacingMs }: ToldReturns, now: number): void {
    this.nextTokenAt = now + nextTokenMs;
    this.returnAt = now + retryAfterMs;
    this.spacingMs = retrySpacingMs;
  }

  /** Whether the tenant has no token yet for certain. */
  isTokenAway(now: number): boolean {
    return now < this.nextTokenAt;
  }

  /** Behind those told before, and not later than `horizonMs` unless the next token is. Milliseconds from now. */
  next(horizonMs: number, now: number): number {
    const latest = Math.max(this.nextTokenAt, now + horizonMs);
    const returnAt = Math.min(Math.max(this.returnAt, this.nextTokenAt), latest);
    this.returnAt = returnAt + this.spacingMs;
    return Math.max(SHORTEST_RETURN_MS, returnAt - now);
  }
}
