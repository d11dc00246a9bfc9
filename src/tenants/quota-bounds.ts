/**
 * How the tolerance of a tenant's limit is divided among what can exceed the limit. Load: a
 * tenant far above its limit at every gateway while owners change and gateways are cut off.
 *
 * With L = rate x window + burst and E = L x overrun + slack, the requests of any window are at
 * most rate x window + capacity, and beyond that
 * - tokens that were granted before the window and are used or returned in it: a token's fate is
 *   settled within two lifetimes (used within one; found not to have run, and reported, within
 *   half a one each), so at most rate x 2 lifetimes;
 * - what a new owner begins with, for each change of owner in the window;
 * - uses that no owner has confirmed, of all gateways together: an owner charges them afterwards,
 *   but the next one knows of no debt, so they count once for each owner of the window.
 * Capacity is the burst and a part of E; the parts sum up to 1 with two changes of owner.
 */
import type { QuotaSettings } from '../configuration/tenant-settings.js';
import type { Tenant } from './tenant.js';

/** Parts of the tolerance. */
const CAPACITY_FRACTION = 0.1;
const SETTLING_FRACTION = 0.16;
const INITIAL_TOKENS_FRACTION = 0.05;
const UNCONFIRMED_FRACTION = 0.64;
/** With two changes of owner. */
const OWNERS_PER_WINDOW = 3;
/** Longer grants would gain nothing: demand is not known so far ahead. Milliseconds. */
const MAXIMUM_TOKEN_LIFETIME_MS = 1_000;
/** Without a tolerance grants still need the time of a message each way. Milliseconds. */
const MINIMUM_TOKEN_LIFETIME_MS = 50;
const MILLISECONDS_PER_SECOND = 1_000;

/** What follows from a tenant's limit. Numbers are requests if they have no unit. */
export interface QuotaBounds {
  /** Of a window, without the tolerance. */
  readonly windowLimit: number;
  /** Tokens a millisecond. */
  readonly ratePerMs: number;
  /** Most tokens that its bucket holds; at least 1. */
  readonly capacity: number;
  /** What the bucket of a new owner begins with. */
  readonly initialTokens: number;
  /** From the question on, a granted token may be used. Milliseconds. */
  readonly tokenLifetimeMs: number;
  /** After its use or its end, a token may be given back, and as long be waiting for that. Milliseconds. */
  readonly returnTimeoutMs: number;
  /** Uses that no owner has confirmed, all gateways together, under one owner of a window. */
  readonly maximumUnconfirmed: number;
}

/** For a tenant that is limited. */
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
  return {
    windowLimit: windowLimit,
    ratePerMs,
    capacity: Math.max(1, burst + tolerance * CAPACITY_FRACTION),
    initialTokens: tolerance * INITIAL_TOKENS_FRACTION,
    tokenLifetimeMs: tokenLifetimeMs,
    returnTimeoutMs: tokenLifetimeMs / 2,
    maximumUnconfirmed: (tolerance * UNCONFIRMED_FRACTION) / OWNERS_PER_WINDOW,
  };
}
