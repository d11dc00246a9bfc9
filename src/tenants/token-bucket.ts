/** The token bucket of one tenant at the quota owner. */
import type { QuotaBounds } from './quota-bounds.js';

/** Part of a token that may be missing from a whole one, because of rounding. */
export const ROUNDING_TOLERANCE = 1e-6;

/**
 * Refills at the tenant's rate up to its capacity. All times are readings of one clock, in
 * milliseconds.
 */
export class TokenBucket {
  private tokens: number;

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

  /** Whether the bucket is as full as a new one. */
  isFull(now: number): boolean {
    return this.level(now) >= this.currentBounds.capacity;
  }

  /** The number of tokens; negative after charges that exceed it. */
  level(now: number): number {
    this.refill(now);
    return this.tokens;
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
    const taken = Math.max(
      0,
      Math.min(wanted, Math.floor(this.tokens - reserve + ROUNDING_TOLERANCE)),
    );
    this.tokens -= taken;
    return taken;
  }

  /** Milliseconds until the bucket holds `tokens`. */
  msUntil(tokens: number, now: number): number {
    this.refill(now);
    return Math.max(0, tokens - this.tokens) / this.currentBounds.ratePerMs;
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
