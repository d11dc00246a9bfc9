/** State of one tenant's quota at one gateway. */
import { DecayingRate } from './decaying-rate.js';
import type { QuotaBounds } from './quota-bounds.js';
import type { QuotaDecision } from './tenant-quota.js';
import type { Tenant } from './tenant.js';
import { AssignedRetries } from './assigned-retries.js';

/** A request that waits for the owner's response. */
export interface WaitingRequest {
  readonly decide: (decision: QuotaDecision) => void;
  /** Identity of the request, the same each time it is sent. Hexadecimal. */
  readonly caller: string;
  /** Clock reading in milliseconds after which the request is refused. */
  readonly deadline: number;
}

/** A token request that the owner hasn't answered yet. */
export interface PendingTokenRequest {
  readonly requestedAt: number;
  readonly spent: number;
  /** The waiting requests in the order in which they were sent to the owner. */
  readonly waiting: readonly WaitingRequest[];
  /** Those of them whose deadline hasn't passed. */
  undecided: ReadonlySet<WaitingRequest>;
}

/** Tokens held, uses not yet reported and requests waiting. Times are clock readings in milliseconds. */
export class TenantAllowance {
  readonly demand = new DecayingRate();
  /** Granted tokens that aren't used yet. */
  tokens = 0;
  private tokensExpireAt = -Infinity;
  /** Until this time no request may be admitted without a token. */
  pressureUntil = -Infinity;
  /** Requests admitted without a token and not yet reported to the owner. */
  spent = 0;
  /** Unused tokens not yet reported to the owner, and the time at which the first of them was recorded. */
  private returned = 0;
  private returnedSince = -Infinity;
  /** Requests admitted without a token and not yet confirmed by an owner. */
  unconfirmed = 0;
  readonly assignedRetries = new AssignedRetries();
  /** Whether the connected owner may not know the assigned retry times. */
  mustReportRetries = false;
  /** Requests refused because no owner decided in time, and not yet reported to the owner. */
  refusedWithoutOwner = 0;
  waiting: WaitingRequest[] = [];
  pendingRequest: PendingTokenRequest | undefined;
  /** Start of the present window without an owner, and the requests that may still be admitted in it. */
  ownerlessWindowStart = -Infinity;
  ownerlessRemaining = 0;
  /** Arrival of the tenant's last request. */
  lastUsedAt = -Infinity;

  constructor(
    public tenant: Tenant,
    public bounds: QuotaBounds,
  ) {}

  /** Adds granted tokens. When tokens of an earlier grant are left, the earlier expiry applies to all. */
  addTokens(tokens: number, expiresAt: number): void {
    if (tokens <= 0) return;
    this.tokensExpireAt = this.tokens > 0 ? Math.min(this.tokensExpireAt, expiresAt) : expiresAt;
    this.tokens += tokens;
  }

  /** Uses a token that is still valid; returns false when there is none. */
  useToken(now: number): boolean {
    this.discardExpiredTokens(now);
    if (this.tokens === 0) return false;
    this.tokens -= 1;
    return true;
  }

  /**
   * Discards tokens that may no longer be used. Until the return timeout, within which their effect
   * on a window is bounded, they are returned to the owner.
   */
  discardExpiredTokens(now: number): void {
    if (this.tokens === 0 || now <= this.tokensExpireAt) return;
    if (now <= this.tokensExpireAt + this.bounds.returnTimeoutMs)
      this.recordReturned(this.tokens, now);
    this.tokens = 0;
  }

  /** Records unused tokens for the next token request. */
  recordReturned(tokens: number, now: number): void {
    if (this.returned === 0) this.returnedSince = now;
    this.returned += tokens;
  }

  get hasReturned(): boolean {
    return this.returned > 0;
  }

  /**
   * Takes the tokens to return to the owner. All are lost once the first of them has waited longer
   * than the return timeout.
   */
  takeReturned(now: number): number {
    const { returned } = this;
    this.returned = 0;
    return now - this.returnedSince > this.bounds.returnTimeoutMs ? 0 : returned;
  }

  /** Whether the state of the tenant can be evicted. */
  isIdle(now: number, windowMs: number): boolean {
    const isQuiet = now - this.lastUsedAt > windowMs;
    const hasTold = this.assignedRetries.dueFrom(now).length > 0;
    return (
      isQuiet &&
      !hasTold &&
      this.waiting.length === 0 &&
      this.pendingRequest === undefined &&
      this.spent === 0
    );
  }
}
