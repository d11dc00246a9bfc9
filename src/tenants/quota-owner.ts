/**
 * Grants the tokens of all tenants at the controller that owns the quotas. Designed for a tenant at
 * many times its limit whose tokens every gateway requests at once. State is kept in memory only.
 *
 * A new owner doesn't know what the previous one granted. Its buckets start with a few tokens per
 * tenant and refill at the tenant's rate. In a window with both owners, the old one granted at most
 * its capacity plus the rate until its end, and the new one its initial tokens plus the rate since
 * its start. At most one of them is the owner at any time, so both together stay within capacity +
 * rate x window + initial tokens; the latter are a fraction of the tolerance (see quota-bounds).
 */
import type { QuotaSettings } from '../configuration/tenant-settings.js';
import type { Clock } from '../seams/clock.js';
import { ADMITTED_NOW_MS, QuotaAccount } from './quota-account.js';
import { computeQuotaBounds } from './quota-bounds.js';
import type { TokenRequest, TokenResponse } from './quota-messages.js';
import { ReservationLimit } from './reservation-limit.js';
import { NO_USAGE, TenantUsage, type UsageCounts } from './tenant-usage.js';
import { isLimited, type Tenant } from './tenant.js';

/** Fraction of the capacity below which a request of the tenant needs a token before it is admitted. */
const PRESSURE_FRACTION = 0.5;
/** Retry time for a tenant that this controller's route document doesn't define. */
const UNKNOWN_TENANT_RETRY_MS = 500;
/** Interval between searches for accounts to evict, in windows. */
const EVICTION_INTERVAL_WINDOWS = 4;
/** The retry times of a response that refuses no request. */
const NO_RETRY_AFTER = { nextTokenMs: 0, retryAfterMs: 0, retrySpacingMs: 0 };
/**
 * Time from the start of an ownership in which gateways report the retry times assigned by earlier
 * owners. A decision made sooner could give away the tokens reserved for them.
 */
const REPORT_COLLECTION_MS = 25;
/** Maximum number of refused requests of all tenants for which tokens are reserved. */
const MAXIMUM_RESERVATIONS = 50_000;
/** Identity of all callers of a gateway that doesn't send identities. */
const UNKNOWN_CALLER = '';

/** Dependencies and settings of a {@link QuotaOwner}. */
export interface QuotaOwnerOptions {
  readonly clock: Clock;
  readonly settings: QuotaSettings;
  /** Finds a tenant in the route document in force at this controller. */
  readonly findTenant: (name: string) => Tenant | undefined;
  /** Called when a tenant has reached its limit. */
  readonly onLimitReached: (tenant: Tenant) => void;
}

/** A tenant for which tokens were requested, with its account and usage. */
interface TenantEntry {
  tenant: Tenant;
  readonly account: QuotaAccount;
  readonly usage: TenantUsage;
}

/** The token buckets of all tenants with recent requests. */
export class QuotaOwner {
  private readonly tenants = new Map<string, TenantEntry>();
  private reservations = new ReservationLimit(MAXIMUM_RESERVATIONS);
  private ownedSince: number;
  private lastEvictionAt: number;

  constructor(private readonly options: QuotaOwnerOptions) {
    this.ownedSince = options.clock.now();
    this.lastEvictionAt = this.ownedSince;
  }

  /** Number of tenants with an account. */
  get tenantCount(): number {
    return this.tenants.size;
  }

  /** Number of refused requests for which a token is reserved. */
  get reservationCount(): number {
    return this.reservations.count;
  }

  /** Becomes the owner now. Clears all accounts, because they belong to an earlier ownership. */
  startOwnership(): void {
    this.tenants.clear();
    this.reservations = new ReservationLimit(MAXIMUM_RESERVATIONS);
    this.ownedSince = this.options.clock.now();
  }

  /** Time until the owner decides on requests; 0 once it does. Milliseconds. */
  get collectingMs(): number {
    return Math.max(0, this.ownedSince + REPORT_COLLECTION_MS - this.options.clock.now());
  }

  /** Restores the reservations that a gateway reports, without deciding on its requests yet. */
  restoreReservations({ tenant: name, reservations = [] }: TokenRequest): void {
    const tenant = this.options.findTenant(name);
    if (tenant === undefined || !isLimited(tenant)) return;
    const { account } = this.getOrCreateTenant(tenant);
    const now = this.options.clock.now();
    for (const { caller, dueInMs } of reservations) account.restore(caller, dueInMs, now);
  }

  /** Requests of a tenant that were admitted and refused in about the last window. */
  usageOf(name: string): UsageCounts {
    return this.tenants.get(name)?.usage.read(this.options.clock.now()) ?? NO_USAGE;
  }

  /** Handles one token request of a gateway, and charges the uses that it reports. */
  handleRequest(request: TokenRequest): TokenResponse {
    this.evictIdle();
    const tenant = this.options.findTenant(request.tenant);
    if (tenant === undefined) return this.refuseUnknown(request);
    if (!isLimited(tenant)) return this.grantAll(request);
    return this.handleLimited(request, this.getOrCreateTenant(tenant));
  }

  private handleLimited(
    request: TokenRequest,
    { tenant, account, usage }: TenantEntry,
  ): TokenResponse {
    const now = this.options.clock.now();
    const { bucket } = account;
    bucket.returnTokens(request.returned, now);
    bucket.charge(request.spent, now);
    this.restoreReservations(request);
    const retries = this.decideWaiting(request, account, now);
    const refusedRetries = retries.filter((retryAfterMs) => retryAfterMs > ADMITTED_NOW_MS);
    const refused = refusedRetries.length;
    const grantedToWaiting = request.waiting - refused;
    const reserve = bucket.bounds.capacity * PRESSURE_FRACTION;
    const grantedAhead = account.takeAhead(request.ahead, reserve, now);
    const used = {
      admitted: grantedToWaiting + grantedAhead + request.spent - request.returned,
      refused: refused + request.refused,
      refusedWithoutOwner: request.refusedWithoutOwner,
    };
    usage.record(used, now);
    if (refused > 0) this.options.onLimitReached(tenant);
    return {
      kind: 'answer',
      tenant: request.tenant,
      granted: grantedToWaiting + grantedAhead,
      pressureMs: account.msUntilCalm(reserve, now),
      nextTokenMs: refused === 0 ? 0 : bucket.msUntil(1, now),
      retryAfterMs: refused === 0 ? 0 : Math.min(...refusedRetries),
      retrySpacingMs: refused === 0 ? 0 : 1 / bucket.bounds.ratePerMs,
      retries,
    };
  }

  private decideWaiting(
    { waiting, callers }: TokenRequest,
    account: QuotaAccount,
    now: number,
  ): number[] {
    return Array.from({ length: waiting }, (_, index) =>
      account.decide(callers?.[index] ?? UNKNOWN_CALLER, now),
    );
  }

  private getOrCreateTenant(tenant: Tenant): TenantEntry {
    const now = this.options.clock.now();
    const known = this.tenants.get(tenant.name);
    if (known?.tenant === tenant) return known;
    const bounds = computeQuotaBounds(tenant, this.options.settings);
    if (known !== undefined) {
      known.account.updateBounds(bounds, now);
      known.tenant = tenant;
      return known;
    }
    const tokens = bounds.initialTokens + (now - this.ownedSince) * bounds.ratePerMs;
    const usage = new TenantUsage(this.options.settings.windowMs);
    const entry = {
      tenant,
      account: new QuotaAccount(bounds, now, tokens, this.reservations),
      usage,
    };
    this.tenants.set(tenant.name, entry);
    return entry;
  }

  private refuseUnknown({ tenant }: TokenRequest): TokenResponse {
    const retryAfterMs = UNKNOWN_TENANT_RETRY_MS;
    return {
      kind: 'answer',
      tenant,
      granted: 0,
      pressureMs: retryAfterMs,
      nextTokenMs: retryAfterMs,
      retryAfterMs,
      retrySpacingMs: 0,
    };
  }

  private grantAll({ tenant, waiting, ahead }: TokenRequest): TokenResponse {
    const granted = waiting + ahead;
    return { kind: 'answer', tenant, granted, pressureMs: 0, ...NO_RETRY_AFTER };
  }

  /** Evicts idle accounts, which bounds the memory by the tenants in use. */
  private evictIdle(): void {
    const now = this.options.clock.now();
    if (now - this.lastEvictionAt < this.options.settings.windowMs * EVICTION_INTERVAL_WINDOWS)
      return;
    this.lastEvictionAt = now;
    for (const [name, { account, usage }] of this.tenants) {
      // A tenant that was removed from the document keeps its account for a window: it may be added again.
      const isRemoved = this.options.findTenant(name) === undefined && !account.hasReservations;
      const isEvictable = account.isIdle(now) || isRemoved;
      if (isEvictable && usage.isEmpty(now)) this.tenants.delete(name);
    }
  }
}
