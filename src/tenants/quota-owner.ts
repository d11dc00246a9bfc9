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
import { computeQuotaBounds } from './quota-bounds.js';
import type { TokenResponseMessage, TokenRequestMessage } from './quota-messages.js';
import { MAXIMUM_RETRY_AFTER_WINDOWS, type RetryAfterTimes } from './retry-after-schedule.js';
import { NO_USAGE, TenantUsage, type UsageCounts } from './tenant-usage.js';
import { isLimited, type Tenant } from './tenant.js';
import { TokenBucket } from './token-bucket.js';

/** Fraction of the capacity below which a request of the tenant needs a token before it is admitted. */
const PRESSURE_FRACTION = 0.5;
/** Retry time for a tenant that this controller's route document doesn't define. */
const UNKNOWN_TENANT_RETRY_MS = 500;
/** Interval between searches for accounts to evict, in windows. */
const EVICTION_INTERVAL_WINDOWS = 4;
/** The retry times of a response that refuses no request. */
const NO_RETRY_AFTER: RetryAfterTimes = { nextTokenMs: 0, retryAfterMs: 0, retrySpacingMs: 0 };

/** Dependencies and settings of a {@link QuotaOwner}. */
export interface QuotaOwnerOptions {
  readonly clock: Clock;
  readonly settings: QuotaSettings;
  /** Finds a tenant in the route document in force at this controller. */
  readonly findTenant: (name: string) => Tenant | undefined;
  /** Called when a tenant has reached its limit. */
  readonly onLimitReached: (tenant: Tenant) => void;
}

/** A tenant for which tokens were requested, with its token bucket and usage. */
interface Account {
  tenant: Tenant;
  readonly bucket: TokenBucket;
  readonly usage: TenantUsage;
}

/** The token buckets of all tenants with recent requests. */
export class QuotaOwner {
  private readonly accounts = new Map<string, Account>();
  private ownedSince: number;
  private lastEvictionAt: number;

  constructor(private readonly options: QuotaOwnerOptions) {
    this.ownedSince = options.clock.now();
    this.lastEvictionAt = this.ownedSince;
  }

  /** Number of tenants with an account. */
  get tenantCount(): number {
    return this.accounts.size;
  }

  /** Becomes the owner now. Clears all accounts, because they belong to an earlier ownership. */
  startOwnership(): void {
    this.accounts.clear();
    this.ownedSince = this.options.clock.now();
  }

  /** Requests of a tenant that were admitted and refused in about the last window. */
  usageOf(name: string): UsageCounts {
    return this.accounts.get(name)?.usage.read(this.options.clock.now()) ?? NO_USAGE;
  }

  /** Handles one token request of a gateway, and charges the uses that it reports. */
  handleRequest(request: TokenRequestMessage): TokenResponseMessage {
    this.evictIdle();
    const tenant = this.options.findTenant(request.tenant);
    if (tenant === undefined) return this.refuseUnknown(request);
    if (!isLimited(tenant)) return this.grantAll(request);
    return this.handleLimited(request, this.getOrCreateAccount(tenant));
  }

  private handleLimited(
    request: TokenRequestMessage,
    { tenant, bucket, usage }: Account,
  ): TokenResponseMessage {
    const now = this.options.clock.now();
    bucket.returnTokens(request.returned, now);
    bucket.charge(request.spent, now);
    const grantedToWaiting = bucket.take(request.waiting, 0, now);
    const reserve = bucket.bounds.capacity * PRESSURE_FRACTION;
    const grantedAhead =
      grantedToWaiting < request.waiting ? 0 : bucket.take(request.ahead, reserve, now);
    const refused = request.waiting - grantedToWaiting;
    const used = {
      admitted: grantedToWaiting + grantedAhead + request.spent - request.returned,
      refused: refused + request.refused,
      refusedWithoutOwner: request.refusedWithoutOwner,
    };
    usage.record(used, now);
    const pressureMs = bucket.msUntil(reserve, now);
    if (refused > 0) this.options.onLimitReached(tenant);
    const retryAfter = this.reserveRetries(refused, bucket, now);
    return {
      kind: 'answer',
      tenant: request.tenant,
      granted: grantedToWaiting + grantedAhead,
      pressureMs,
      ...retryAfter,
    };
  }

  private reserveRetries(refused: number, bucket: TokenBucket, now: number): RetryAfterTimes {
    if (refused === 0) return NO_RETRY_AFTER;
    const horizonMs = this.options.settings.windowMs * MAXIMUM_RETRY_AFTER_WINDOWS;
    return {
      nextTokenMs: bucket.msUntil(1, now),
      retryAfterMs: bucket.reserveRetries(refused, horizonMs, now),
      retrySpacingMs: 1 / bucket.bounds.ratePerMs,
    };
  }

  private getOrCreateAccount(tenant: Tenant): Account {
    const now = this.options.clock.now();
    const known = this.accounts.get(tenant.name);
    if (known?.tenant === tenant) return known;
    const bounds = computeQuotaBounds(tenant, this.options.settings);
    if (known !== undefined) {
      known.bucket.updateBounds(bounds, now);
      known.tenant = tenant;
      return known;
    }
    const tokens = bounds.initialTokens + (now - this.ownedSince) * bounds.ratePerMs;
    const usage = new TenantUsage(this.options.settings.windowMs);
    const account = { tenant, bucket: new TokenBucket(bounds, now, tokens), usage };
    this.accounts.set(tenant.name, account);
    return account;
  }

  private refuseUnknown({ tenant }: TokenRequestMessage): TokenResponseMessage {
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

  private grantAll({ tenant, waiting, ahead }: TokenRequestMessage): TokenResponseMessage {
    const granted = waiting + ahead;
    return { kind: 'answer', tenant, granted, pressureMs: 0, ...NO_RETRY_AFTER };
  }

  /** Evicts idle accounts, which bounds the memory by the tenants in use. */
  private evictIdle(): void {
    const now = this.options.clock.now();
    if (now - this.lastEvictionAt < this.options.settings.windowMs * EVICTION_INTERVAL_WINDOWS)
      return;
    this.lastEvictionAt = now;
    for (const [name, { bucket, usage }] of this.accounts) {
      // A tenant that was removed from the document keeps its account for a window: it may be added again.
      const isEvictable = bucket.isIdle(now) || this.options.findTenant(name) === undefined;
      if (isEvictable && usage.isEmpty(now)) this.accounts.delete(name);
    }
  }
}
