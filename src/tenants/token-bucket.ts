/** The tokens of one tenant at the owner, and when refused requests are to come back. */
import type { QuotaBounds } from './quota-bounds.js';

/** See the module comment. Times are readings of one clock. Milliseconds. */
export class TokenBucket {
  private level: number;
  /** Requests that were told to come back are expected up to this time. */
  private returnsReservedUntil = -Infinity;

  constructor(
    private limits: QuotaBounds,
    private filledAt: number,
    level: number,
  ) {
    this.level = Math.min(limits.capacity, level);
  }

  /** By another limit from now on; tokens beyond the new capacity are gone. */
  useBounds(limits: QuotaBounds, now: number): void {
    this.fill(now);
    this.limits = limits;
    this.level = Math.min(limits.capacity, this.level);
  }

  get bounds(): QuotaBounds {
    return this.limits;
  }

  /** Whether dropping it loses nothing: a new one would be as full. */
  isIdle(now: number): boolean {
    this.fill(now);
    return this.level >= this.limits.capacity && this.returnsReservedUntil <= now;
  }

  /** Takes off what was used without a token; may go below zero. */
  charge(tokens: number, now: number): void {
    this.fill(now);
    this.level -= tokens;
  }

  giveBack(tokens: number, now: number): void {
    this.fill(now);
    this.level = Math.min(this.limits.capacity, this.level + tokens);
  }

  /** Takes at most `wanted` whole tokens, and leaves `reserve` where they are not needed. */
  take(wanted: number, reserve: number, now: number): number {
    this.fill(now);
    const taken = Math.max(0, Math.min(wanted, Math.floor(this.level - reserve)));
    this.level -= taken;
    return taken;
  }

  /** Until the bucket holds `tokens`. Milliseconds. */
  timeUntil(tokens: number, now: number): number {
    this.fill(now);
    return Math.max(0, tokens - this.level) / this.limits.ratePerMs;
  }

  /**
   * When the first of the refused requests is to come back: each has a token of its own, behind
   * those refused before, at most `horizonMs` from now. Milliseconds from now.
   */
  reserveReturns(refused: number, horizonMs: number, now: number): number {
    const first = Math.max(now + this.timeUntil(1, now), this.returnsReservedUntil);
    this.returnsReservedUntil = Math.min(first + refused / this.limits.ratePerMs, now + horizonMs);
    return Math.min(first - now, Math.max(horizonMs, this.timeUntil(1, now)));
  }

  private fill(now: number): void {
    const passed = Math.max(0, now - this.filledAt);
    this.level = Math.min(this.limits.capacity, this.level + passed * this.limits.ratePerMs);
    this.filledAt = Math.max(this.filledAt, now);
  }
}
