/**
 * Divides the tolerance of a tenant's limit among everything that can exceed the limit. The bounds
 * must hold for a tenant far above its limit at every gateway while the quota owner changes and
 * gateways are partitioned from the controllers.
 *
 * With L = rate x window + burst and tolerance E = L x overrun + slack, the requests admitted in any
 * window are at most rate x window + capacity, plus
 * - tokens that were granted before the window and are used or returned in it: each token is settled
 *   within two lifetimes (used within one lifetime; after that, half a lifetime to find that the
 *   request didn't run and half a lifetime to report it), so at most rate x 2 lifetimes;
 * - the initial tokens of a new owner, for each change of owner in the window;
 * - unconfirmed uses of all gateways together: an owner charges them afterwards, but the next owner
 *   doesn't know of that debt, so they count once for each owner of the window.
 * Capacity is the burst and a fraction of E. That fraction also covers the tokens that are held for
 * refused callers, so that no request within the limit is refused on their account. With two changes of owner the fractions sum up to 1.
 */
import type { QuotaSettings } from '../configuration/tenant-settings.js';
import type { Tenant } from './tenant.js';

/** Fractions of the tolerance. */
const CAPACITY_FRACTION = 0.12;
const SETTLING_FRACTION = 0.14;
const INITIAL_TOKENS_FRACTION = 0.05;
const UNCONFIRMED_FRACTION = 0.64;
/** Owners of one window when the owner changes twice in it. */
const OWNERS_PER_WINDOW = 3;
/** Longer lifetimes gain nothing, because demand can't be predicted that far ahead. */
const MAXIMUM_TOKEN_LIFETIME_MS = 1_000;
/** Covers a message in each direction, which a grant needs even without any tolerance. */
const MINIMUM_TOKEN_LIFETIME_MS = 50;
/**
 * Maximum time for which a due token is held for a refused caller: covers the way of the refusal to
 * the caller and of the retry back, with a new connection.
 */
const MAXIMUM_RETRY_HOLD_MS = 200;
/** Tokens beyond the burst that aren't held, so that the next retry finds its token when it is due. */
const TOKENS_NOT_HELD = 1;
const MILLISECONDS_PER_SECOND = 1_000;

/** Quantities derived from a tenant's limit. Numbers without a unit count requests. */
export interface QuotaBounds {
  /** Requests allowed in a window, without the tolerance. */
  readonly windowLimit: number;
  /** Tokens per millisecond. */
  readonly ratePerMs: number;
  /** Capacity of the tenant's token bucket; at least 1. */
  readonly capacity: number;
  /** Tokens in the bucket when a new owner takes over. */
  readonly initialTokens: number;
  /** Milliseconds for which a granted token may be used, counted from the sending of the token request. */
  readonly tokenLifetimeMs: number;
  /**
   * Milliseconds after its use or expiry in which a token may be returned; it then waits at most as
   * long to be sent.
   */
  readonly returnTimeoutMs: number;
  /** Milliseconds for which a due token is held for the refused caller to whom it was promised. */
  readonly retryHoldMs: number;
  /** Maximum unconfirmed uses of all gateways together under one owner of a window. */
  readonly maximumUnconfirmed: number;
}

/** Requires a tenant with a limit: its rate must be above 0. */
export function computeQuotaBounds(
  { requestsPerSecond, burst }: Pick<Tenant, 'requestsPerSecond' | 'burst'>,
  { windowMs, overrun, slack }: QuotaSettings,
): QuotaBounds {
  const ratePerMs = requestsPerSecond / MILLISECONDS_PER_SECOND;
  const windowLimit = ratePerMs * windowMs + burst;
  const tolerance = windowLimit * overrun + slack;
  const settlingMs = (tolerance * SETTLING_FRACTION) / 2 / ratePerMs;
  const tokenLifetimeMs = Math.min(
    MAXIMUM_TOKEN_LIFETIME_MS,
    Math.max(MINIMUM_TOKEN_LIFETIME_MS, settlingMs),
  );
  const exactCapacity = Math.max(1, burst);
  const capacity = Math.max(exactCapacity, burst + tolerance * CAPACITY_FRACTION);
  const heldTokens = Math.max(0, capacity - exactCapacity - TOKENS_NOT_HELD);
  return {
    windowLimit,
    ratePerMs,
    capacity,
    initialTokens: tolerance * INITIAL_TOKENS_FRACTION,
    tokenLifetimeMs,
    returnTimeoutMs: tokenLifetimeMs / 2,
    retryHoldMs: Math.min(MAXIMUM_RETRY_HOLD_MS, heldTokens / ratePerMs),
    maximumUnconfirmed: (tolerance * UNCONFIRMED_FRACTION) / OWNERS_PER_WINDOW,
  };
}
