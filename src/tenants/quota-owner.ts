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
import { boundsOf } from './quota-bounds.js';
import type { QuotaAnswerMessage, QuotaAskMessage } from './quota-messages.js';
import { LONGEST_RETURN_WINDOWS, type ToldReturns } from './return-schedule.js';
import { NOTHING_USED, TenantUsage, type UsageCounts } from './tenant-usage.js';
import { isLimited, type Tenant } from './tenant.js';
import { TokenBucket } from './token-bucket.js';

/** Share of the capacity below which a tenant's requests need a token before they are passed on. */
const PRESSURE_PART = 0.5;
/** A tenant that the route document here does not name is asked for again later. Milliseconds. */
const UNKNOWN_TENANT_RETRY_MS = 500;
/** How often buckets that are full again are looked for, in windows. */
const FORGET_WINDOWS = 4;
/** Where no request was refused. */
const NO_RETURNS: ToldReturns = { nextTokenMs: 0, retryAfterMs: 0, retrySpacingMs: 0 };

/** What an owner goes by. */
export interface QuotaOwnerOptions {
  readonly clock: Clock;
  readonly settings: QuotaSettings;
  /** The tenant by the route document in force here. */
  readonly tenant: (name: string) => Tenant | undefined;
  /** A tenant has reached its limit. */
  readonly onLimit: (tenant: Tenant) => void;
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
  private since: number;
  private lastForgottenAt: number;

  constructor(private readonly options: QuotaOwnerOptions) {
    this.since = options.clock.now();
    this.lastForgottenAt = this.since;
  }

  /** Tenants of which something is remembered. */
  get size(): number {
    return this.accounts.size;
  }

  /** Owns the tokens from now on: what was known is of another ownership. */
  begin(): void {
    this.accounts.clear();
    this.since = this.options.clock.now();
  }

  /** What was admitted and refused of a tenant in the last window. */
  usageOf(name: string): UsageCounts {
    return this.accounts.get(name)?.usage.read(this.options.clock.now()) ?? NOTHING_USED;
  }

  /** Answers one question of a gateway, and notes the uses that it tells of. */
  answer(ask: QuotaAskMessage): QuotaAnswerMessage {
    this.forgetIdle();
    const tenant = this.options.tenant(ask.tenant);
    if (tenant === undefined) return this.answerUnknown(ask);
    if (!isLimited(tenant)) return this.grantAll(ask);
    return this.answerLimited(ask, this.accountOf(tenant));
  }

  private answerLimited(
    ask: QuotaAskMessage,
    { tenant, bucket, usage }: Account,
  ): QuotaAnswerMessage {
    const now = this.options.clock.now();
    bucket.giveBack(ask.returned, now);
    bucket.charge(ask.spent, now);
    const forWaiting = bucket.take(ask.waiting, 0, now);
    const reserve = bucket.bounds.capacity * PRESSURE_PART;
    const ahead = forWaiting < ask.waiting ? 0 : bucket.take(ask.ahead, reserve, now);
    const refused = ask.waiting - forWaiting;
    const used = {
      admitted: forWaiting + ahead + ask.spent - ask.returned,
      refused: refused + ask.refused,
      refusedWithoutOwner: ask.refusedWithoutOwner,
    };
    usage.note(used, now);
    const pressureMs = bucket.timeUntil(reserve, now);
    if (refused > 0) this.options.onLimit(tenant);
    const returns = this.returnsOf(refused, bucket, now);
    return {
      kind: 'answer',
      tenant: ask.tenant,
      granted: forWaiting + ahead,
      pressureMs,
      ...returns,
    };
  }

  private returnsOf(refused: number, bucket: TokenBucket, now: number): ToldReturns {
    if (refused === 0) return NO_RETURNS;
    const horizonMs = this.options.settings.windowMs * LONGEST_RETURN_WINDOWS;
    return {
      nextTokenMs: bucket.timeUntil(1, now),
      retryAfterMs: bucket.reserveReturns(refused, horizonMs, now),
      retrySpacingMs: 1 / bucket.bounds.ratePerMs,
    };
  }

  private accountOf(tenant: Tenant): Account {
    const now = this.options.clock.now();
    const known = this.accounts.get(tenant.name);
    if (known?.tenant === tenant) return known;
    const bounds = boundsOf(tenant, this.options.settings);
    if (known !== undefined) {
      known.bucket.useBounds(bounds, now);
      known.tenant = tenant;
      return known;
    }
    const level = bounds.beginning + (now - this.since) * bounds.ratePerMs;
    const usage = new TenantUsage(this.options.settings.windowMs);
    const account = { tenant, bucket: new TokenBucket(bounds, now, level), usage };
    this.accounts.set(tenant.name, account);
    return account;
  }

  private answerUnknown({ tenant }: QuotaAskMessage): QuotaAnswerMessage {
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

  private grantAll({ tenant, waiting, ahead }: QuotaAskMessage): QuotaAnswerMessage {
    const granted = waiting + ahead;
    return { kind: 'answer', tenant, granted, pressureMs: 0, ...NO_RETURNS };
  }

  /** Keeps memory bounded by the tenants that are in use. */
  private forgetIdle(): void {
    const now = this.options.clock.now();
    if (now - this.lastForgottenAt < this.options.settings.windowMs * FORGET_WINDOWS) return;
    this.lastForgottenAt = now;
    for (const [name, { bucket, usage }] of this.accounts) {
      // Of a tenant that is not named any more, its last window: it may be named again.
      const isOver = bucket.isIdle(now) || this.options.tenant(name) === undefined;
      if (isOver && usage.isEmpty(now)) this.accounts.delete(name);
    }
  }
}
