/** What one gateway holds and knows of one tenant's tokens. */
import { RetryAfterSchedule } from './retry-after-schedule.js';
import { DecayingRate } from './decaying-rate.js';
import type { QuotaBounds } from './quota-bounds.js';
import type { QuotaDecision } from './tenant-quota.js';
import type { Tenant } from './tenant.js';

/** A request that waits for the owner's answer. */
export interface WaitingRequest {
  readonly decide: (decision: QuotaDecision) => void;
  /** Clock reading after which it waits no longer. */
  readonly deadline: number;
}

/** What the owner was asked and has not answered yet. */
export interface PendingTokenRequest {
  readonly requestedAt: number;
  readonly spent: number;
  /** Those whose time is not over. */
  waiting: readonly WaitingRequest[];
}

/** See the module comment. Times are clock readings. Milliseconds. */
export class TenantAllowance {
  readonly demand = new DecayingRate();
  /** Granted and not used. */
  tokens = 0;
  private tokensExpireAt = -Infinity;
  /** Until then nothing may be passed on without a token. */
  pressureUntil = -Infinity;
  readonly retrySchedule = new RetryAfterSchedule();
  /** Passed on without a token and not yet told to the owner. */
  spent = 0;
  /** Unused tokens that the owner is still to be told of, and since when. */
  private returned = 0;
  private returnedSince = -Infinity;
  /** Passed on without a token and not yet confirmed by an owner. */
  unconfirmed = 0;
  /** Refused here, by what was known, and not yet told to the owner. */
  refused = 0;
  refusedWithoutOwner = 0;
  waiting: WaitingRequest[] = [];
  pendingRequest: PendingTokenRequest | undefined;
  /** Of the present window without an owner. */
  ownerlessWindowStart = -Infinity;
  ownerlessRemaining = 0;
  /** When a request of the tenant last came. */
  lastUsedAt = -Infinity;

  constructor(
    public tenant: Tenant,
    public bounds: QuotaBounds,
  ) {}

  /** Keeps granted tokens; of those of two grants the older end counts for all. */
  addTokens(tokens: number, expiresAt: number): void {
    if (tokens <= 0) return;
    this.tokensExpireAt = this.tokens > 0 ? Math.min(this.tokensExpireAt, expiresAt) : expiresAt;
    this.tokens += tokens;
  }

  /** Uses a token that is still valid; false when there is none. */
  useToken(now: number): boolean {
    this.discardExpiredTokens(now);
    if (this.tokens === 0) return false;
    this.tokens -= 1;
    return true;
  }

  /** A stale token may not be used, but is returned while its lifetime bounds what it can add. */
  discardExpiredTokens(now: number): void {
    if (this.tokens === 0 || now <= this.tokensExpireAt) return;
    if (now <= this.tokensExpireAt + this.bounds.returnTimeoutMs)
      this.recordReturned(this.tokens, now);
    this.tokens = 0;
  }

  /** Keeps unused tokens for the next question to the owner. */
  recordReturned(tokens: number, now: number): void {
    if (this.returned === 0) this.returnedSince = now;
    this.returned += tokens;
  }

  get hasReturned(): boolean {
    return this.returned > 0;
  }

  /** What the owner is to be told of; what has waited for too long is lost. */
  takeReturned(now: number): number {
    const { returned } = this;
    this.returned = 0;
    return now - this.returnedSince > this.bounds.returnTimeoutMs ? 0 : returned;
  }

  /** Whether nothing needs to be remembered of the tenant. */
  isIdle(now: number, windowMs: number): boolean {
    const isQuiet = now - this.lastUsedAt > windowMs;
    return (
      isQuiet && this.waiting.length === 0 && this.pendingRequest === undefined && this.spent === 0
    );
  }
}
