/** The tokens of one tenant at the owner, and when refused requests are to come back. */
import type { QuotaBounds } from './quota-bounds.js';

/** See the module comment. Times are readings of one clock. Milliseconds. */
export class TokenBucket {
  private tokens: number;
  /** Requests that were told to come back are expected up to this time. */
  private retriesReservedUntil = -Infinity;

  constructor(
    private currentBounds: QuotaBounds,
    private refilledAt: number,
    level: number,
  ) {
    this.tokens = Math.min(currentBounds.capacity, level);
  }

  /** By another limit from now on; tokens beyond the new capacity are gone. */
  updateBounds(limits: QuotaBounds, now: number): void {
    this.refill(now);
    this.currentBounds = limits;
    this.tokens = Math.min(limits.capacity, this.tokens);
  }

  get bounds(): QuotaBounds {
    return this.currentBounds;
  }

  /** Whether dropping it loses nothing: a new one would be as full. */
  isIdle(now: number): boolean {
    this.refill(now);
    return this.tokens >= this.currentBounds.capacity && this.retriesReservedUntil <= now;
  }

  /** Takes off what was used without a token; may go below zero. */
  charge(tokens: number, now: number): void {
    this.refill(now);
    this.tokens -= tokens;
  }

  returnTokens(tokens: number, now: number): void {
    this.refill(now);
    this.tokens = Math.min(this.currentBounds.capacity, this.tokens + tokens);
  }

  /** Takes at most `wanted` whole tokens, and leaves `reserve` where they are not needed. */
  take(wanted: number, reserve: number, now: number): number {
    this.refill(now);
    const taken = Math.max(0, Math.min(wanted, Math.floor(this.tokens - reserve)));
    this.tokens -= taken;
    return taken;
  }

  /** Until the bucket holds `tokens`. Milliseconds. */
  msUntil(tokens: number, now: number): number {
    this.refill(now);
    return Math.max(0, tokens - this.tokens) / this.currentBounds.ratePerMs;
  }

  /**
   * When the first of the refused requests is to come back: each has a token of its own, behind
   * those refused before, at most `horizonMs` from now. Milliseconds from now.
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
