/**
 * Grants the tokens of all tenants, at the controller that owns them. Load: a tenant at many
 * times its limit, asked for by every gateway at once. State is in memory only.
 *
 * A new owner knows nothing of what the one before granted. It begins with a few tokens a tenant,
 * and fills at the tenant's rate: of a window with both owners, the old one granted at most its
 * capacity and the rate up to its end, the new one what it began with and the rate since its
 * beginning. As at most one of them owns at a time, both together stay within capacity, rate x
 * window and that beginning, which is a part of the tolerance (see quota-bounds).
 */
import type { QuotaSettings } from '../configuration/tenant-settings.js';
import type { Clock } from '../seams/clock.js';
import { computeQuotaBounds } from './quota-bounds.js';
import type { TokenResponseMessage, TokenRequestMessage } from './quota-messages.js';
import { MAXIMUM_RETRY_AFTER_WINDOWS, type RetryAfterTimes } from './retry-after-schedule.js';
import { NO_USAGE, TenantUsage, type UsageCounts } from './tenant-usage.js';
import { isLimited, type Tenant } from './tenant.js';
import { TokenBucket } from './token-bucket.js';

/** Share of the capacity below which a tenant's requests need a token before they are passed on. */
const PRESSURE_FRACTION = 0.5;
/** A tenant that the route document here does not name is asked for again later. Milliseconds. */
const UNKNOWN_TENANT_RETRY_MS = 500;
/** How often buckets that are full again are looked for, in windows. */
const EVICTION_INTERVAL_WINDOWS = 4;
/** Where no request was refused. */
const NO_RETRY_AFTER: RetryAfterTimes = { nextTokenMs: 0, retryAfterMs: 0, retrySpacingMs: 0 };

/** What an owner goes by. */
export interface QuotaOwnerOptions {
  readonly clock: Clock;
  readonly settings: QuotaSettings;
  /** The tenant by the route document in force here. */
  readonly findTenant: (name: string) => Tenant | undefined;
  /** A tenant has reached its limit. */
  readonly onLimitReached: (tenant: Tenant) => void;
}

/** A tenant that has asked, and what it may use and has used. */
interface Account {
  tenant: Tenant;
  readonly bucket: TokenBucket;
  readonly usage: TenantUsage;
}

/** See the module comment. */
export class QuotaOwner {
  private readonly accounts = new Map<string, Account>();
  private ownedSince: number;
  private lastEvictionAt: number;

  constructor(private readonly options: QuotaOwnerOptions) {
    this.ownedSince = options.clock.now();
    this.lastEvictionAt = this.ownedSince;
  }

  /** Tenants of which something is remembered. */
  get tenantCount(): number {
    return this.accounts.size;
  }

  /** Owns the tokens from now on: what was known is of another ownership. */
  startOwnership(): void {
    this.accounts.clear();
    this.ownedSince = this.options.clock.now();
  }

  /** What was admitted and refused of a tenant in the last window. */
  usageOf(name: string): UsageCounts {
    return this.accounts.get(name)?.usage.read(this.options.clock.now()) ?? NO_USAGE;
  }

  /** Answers one question of a gateway, and notes the uses that it tells of. */
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

  /** Keeps memory bounded by the tenants that are in use. */
  private evictIdle(): void {
    const now = this.options.clock.now();
    if (now - this.lastEvictionAt < this.options.settings.windowMs * EVICTION_INTERVAL_WINDOWS)
      return;
    this.lastEvictionAt = now;
    for (const [name, { bucket, usage }] of this.accounts) {
      // Of a tenant that is not named any more, its last window: it may be named again.
      const isEvictable = bucket.isIdle(now) || this.options.findTenant(name) === undefined;
      if (isEvictable && usage.isEmpty(now)) this.accounts.delete(name);
    }
  }
}
