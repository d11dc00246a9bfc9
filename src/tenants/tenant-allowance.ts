/** What one gateway holds and knows of one tenant's tokens. */
import { ReturnSchedule } from './return-schedule.js';
import { SmoothedRate } from './smoothed-rate.js';
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
export interface OpenQuestion {
  readonly askedAt: number;
  readonly spent: number;
  /** Those whose time is not over. */
  waiting: readonly WaitingRequest[];
}

/** See the module comment. Times are clock readings. Milliseconds. */
export class TenantAllowance {
  readonly demand = new SmoothedRate();
  /** Granted and not used. */
  tokens = 0;
  private tokensUntil = -Infinity;
  /** Until then nothing may be passed on without a token. */
  pressureUntil = -Infinity;
  readonly returns = new ReturnSchedule();
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
  question: OpenQuestion | undefined;
  /** Of the present window without an owner. */
  ownerlessSince = -Infinity;
  ownerlessLeft = 0;
  /** When a request of the tenant last came. */
  lastUsedAt = -Infinity;

  constructor(
    public tenant: Tenant,
    public bounds: QuotaBounds,
  ) {}

  /** Keeps granted tokens; of those of two grants the older end counts for all. */
  hold(tokens: number, until: number): void {
    if (tokens <= 0) return;
    this.tokensUntil = this.tokens > 0 ? Math.min(this.tokensUntil, until) : until;
    this.tokens += tokens;
  }

  /** Uses a token that is still valid; false when there is none. */
  useToken(now: number): boolean {
    this.dropStale(now);
    if (this.tokens === 0) return false;
    this.tokens -= 1;
    return true;
  }

  /** A stale token may not be used, but is returned while its lifetime bounds what it can add. */
  dropStale(now: number): void {
    if (this.tokens === 0 || now <= this.tokensUntil) return;
    if (now <= this.tokensUntil + this.bounds.returnMs) this.noteReturned(this.tokens, now);
    this.tokens = 0;
  }

  /** Keeps unused tokens for the next question to the owner. */
  noteReturned(tokens: number, now: number): void {
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
    return now - this.returnedSince > this.bounds.returnMs ? 0 : returned;
  }

  /** Whether nothing needs to be remembered of the tenant. */
  isIdle(now: number, windowMs: number): boolean {
    const isQuiet = now - this.lastUsedAt > windowMs;
    return isQuiet && this.waiting.length === 0 && this.question === undefined && this.spent === 0;
  }
}
