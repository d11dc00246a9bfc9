/**
 * Decides on the requests of one tenant at the quota owner. Designed for a burst far above the limit
 * at many gateways: each refused request gets a retry time at which a token is reserved for it, and
 * requests that weren't refused before get only the tokens that nobody has reserved.
 */
import type { QuotaBounds } from './quota-bounds.js';
import type { ReservationLimit } from './reservation-limit.js';
import { RetryReservations } from './retry-reservations.js';
import { ROUNDING_TOLERANCE, TokenBucket } from './token-bucket.js';

/** Retry times further ahead than this are not reserved. */
const MAXIMUM_RETRY_AFTER_MS = 600_000;
/** A retry time of 0 would admit the request. */
const MINIMUM_RETRY_AFTER_MS = 1;
/** Maximum number of a tenant's reservations; leaves room for those of other tenants. */
const MAXIMUM_RESERVATIONS = 10_000;
/** Two reports of a reservation differ by less: by the time that their messages took. */
const RESTORE_TOLERANCE_MS = 1_000;
/** Retry times beyond the last reservation are spread over this time in this many steps. */
const UNRESERVED_SPREAD_MS = 10_000;
const UNRESERVED_STEPS = 64;

/** The result of {@link QuotaAccount.decide} for an admitted request. */
export const ADMITTED_NOW_MS = 0;

/** Token bucket and reservations of one tenant. Times are clock readings in milliseconds. */
export class QuotaAccount {
  readonly bucket: TokenBucket;
  private readonly reservations: RetryReservations;
  private unreservedRefusals = 0;
  /** All tokens that are due before this time are reserved. */
  private searchFrom = -Infinity;

  constructor(
    bounds: QuotaBounds,
    now: number,
    initialTokens: number,
    private readonly limit: ReservationLimit,
  ) {
    this.bucket = new TokenBucket(bounds, now, initialTokens);
    this.reservations = new RetryReservations(limit);
  }

  /** Applies another limit from now on. Reservations keep their times, which callers know. */
  updateBounds(bounds: QuotaBounds, now: number): void {
    this.bucket.updateBounds(bounds, now);
    this.searchFrom = now;
  }

  get hasReservations(): boolean {
    return this.reservations.size > 0;
  }

  /** Whether the account can be evicted without loss. */
  isIdle(now: number): boolean {
    this.expire(now);
    return !this.hasReservations && this.bucket.isFull(now);
  }

  /**
   * Takes a token for a request of `caller`, and returns {@link ADMITTED_NOW_MS}; without one it
   * returns the milliseconds after which a token is reserved for the caller.
   */
  decide(caller: string, now: number): number {
    this.expire(now);
    const mayTake = this.reservations.claim(caller, now) || this.hasFreeToken(now);
    if (mayTake && this.bucket.take(1, 0, now) === 1) return ADMITTED_NOW_MS;
    return this.reserve(caller, now);
  }

  /**
   * Restores a reservation that an earlier owner made, due in `dueInMs`. Ignores
   * one that is known, because a gateway also reports after its connection was reset.
   */
  restore(caller: string, dueInMs: number, now: number): void {
    const dueAt = now + dueInMs;
    if (!this.mayReserve(dueInMs)) return;
    if (this.reservations.has(caller, dueAt, RESTORE_TOLERANCE_MS)) return;
    this.reservations.add(caller, dueAt);
  }

  /** Takes at most `wanted` tokens for requests that are expected; none while requests are refused. */
  takeAhead(wanted: number, reserve: number, now: number): number {
    this.expire(now);
    return this.hasReservations ? 0 : this.bucket.take(wanted, reserve, now);
  }

  /** Milliseconds until the bucket holds `tokens` and no reservation is left. */
  msUntilCalm(tokens: number, now: number): number {
    const reservedMs = this.hasReservations ? this.reservations.lastDueAt - now : 0;
    return Math.max(this.bucket.msUntil(tokens, now), reservedMs);
  }

  /** Whether a request without a reservation may take a token. */
  private hasFreeToken(now: number): boolean {
    if (!this.reservations.isHolding) return this.bucket.level(now) >= 1 - ROUNDING_TOLERANCE;
    const free = this.bucket.level(now) - this.reservations.countUntil(now);
    const nextDueInMs = this.reservations.nextDueAt(now) - now;
    // Reservations are at least the time of one token apart, so the next one is the tightest.
    const freeAtNextDue = free + nextDueInMs * this.bucket.bounds.ratePerMs - 1;
    return Math.min(free, freeAtNextDue) >= 1 - ROUNDING_TOLERANCE;
  }

  private reserve(caller: string, now: number): number {
    const dueAt = this.findRetryTime(now);
    if (!this.mayReserve(dueAt - now)) return this.spreadBeyond(dueAt - now);
    this.reservations.add(caller, dueAt);
    this.searchFrom = dueAt;
    return Math.max(MINIMUM_RETRY_AFTER_MS, dueAt - now);
  }

  private mayReserve(dueInMs: number): boolean {
    if (dueInMs > MAXIMUM_RETRY_AFTER_MS || this.limit.isReached) return false;
    return this.reservations.size < MAXIMUM_RESERVATIONS;
  }

  /** The first time at which a token is due that isn't reserved, behind the last one that was found. */
  private findRetryTime(now: number): number {
    const msPerToken = 1 / this.bucket.bounds.ratePerMs;
    let earliest = Math.max(now, this.searchFrom);
    for (;;) {
      const gapAt = this.reservations.findGap(earliest, msPerToken);
      const tokens = this.reservations.countUntil(gapAt) + 1;
      earliest = now + this.bucket.msUntil(tokens, now);
      if (earliest <= gapAt) return gapAt;
    }
  }

  /** A retry time behind all reservations; different ones keep the callers from returning together. */
  private spreadBeyond(dueInMs: number): number {
    this.unreservedRefusals += 1;
    const step = this.unreservedRefusals % UNRESERVED_STEPS;
    return dueInMs + (step / UNRESERVED_STEPS) * UNRESERVED_SPREAD_MS;
  }

  private expire(now: number): void {
    this.reservations.expireBefore(now - this.bucket.bounds.retryHoldMs);
  }
}
