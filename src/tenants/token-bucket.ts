/** The token bucket of one tenant at the quota owner, and the retry times reserved for refused requests. */
import type { QuotaBounds } from './quota-bounds.js';

/**
 * Refills at the tenant's rate up to its capacity. All times are readings of one clock, in
 * milliseconds.
 */
export class TokenBucket {
  private tokens: number;
  /** Tokens up to this time are reserved for the retries of refused requests. */
  private retriesReservedUntil = -Infinity;

  constructor(
    private currentBounds: QuotaBounds,
    private refilledAt: number,
    initialTokens: number,
  ) {
    this.tokens = Math.min(currentBounds.capacity, initialTokens);
  }

  /** Applies another limit from now on; tokens beyond the new capacity are lost. */
  updateBounds(bounds: QuotaBounds, now: number): void {
    this.refill(now);
    this.currentBounds = bounds;
    this.tokens = Math.min(bounds.capacity, this.tokens);
  }

  get bounds(): QuotaBounds {
    return this.currentBounds;
  }

  /** Whether the bucket can be evicted without loss, because a new one would be as full. */
  isIdle(now: number): boolean {
    this.refill(now);
    return this.tokens >= this.currentBounds.capacity && this.retriesReservedUntil <= now;
  }

  /** Deducts requests that were admitted without a token; the number of tokens may become negative. */
  charge(tokens: number, now: number): void {
    this.refill(now);
    this.tokens -= tokens;
  }

  returnTokens(tokens: number, now: number): void {
    this.refill(now);
    this.tokens = Math.min(this.currentBounds.capacity, this.tokens + tokens);
  }

  /** Takes at most `wanted` whole tokens, but none of the last `reserve` tokens; returns how many. */
  take(wanted: number, reserve: number, now: number): number {
    this.refill(now);
    const taken = Math.max(0, Math.min(wanted, Math.floor(this.tokens - reserve)));
    this.tokens -= taken;
    return taken;
  }

  /** Milliseconds until the bucket holds `tokens`. */
  msUntil(tokens: number, now: number): number {
    this.refill(now);
    return Math.max(0, tokens - this.tokens) / this.currentBounds.ratePerMs;
  }

  /**
   * Reserves one future token for each of `refused` requests, behind those reserved before, and
   * returns the milliseconds until the first of them. Retry times lie at most `horizonMs` from now,
   * unless the next token is due later than that.
   */
  reserveRetries(refused: number, horizonMs: number, now: number): number {
    const first = Math.max(now + this.msUntil(1, now), this.retriesReservedUntil);
    this.retriesReservedUntil = Math.min(
      first + refused / this.currentBounds.ratePerMs,
      now + horizonMs,
    );
    return Math.min(first - now, Math.max(horizonMs, this.msUntil(1, now)));
  }

  private refill(now: number): void {
    const elapsedMs = Math.max(0, now - this.refilledAt);
    this.tokens = Math.min(
      this.currentBounds.capacity,
      this.tokens + elapsedMs * this.currentBounds.ratePerMs,
    );
    this.refilledAt = Math.max(this.refilledAt, now);
  }
}
