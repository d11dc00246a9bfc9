/**
 * Decides at a gateway which requests of tenants are passed on. Load: few requests of a tenant at
 * each of many gateways, and many of one tenant at some or all of them.
 *
 * A request takes a token that was granted ahead, else it is passed on at once if so few uses
 * without a token are allowed to this gateway that those of all gateways stay within the bounds,
 * else the owner is asked. While the tenant's next token is not due it is refused at once.
 *
 * Without an owner a bounded number is passed on (see unconfirmed-uses); other requests wait for
 * one for a short time, in which the controllers elect it, and are refused when none is found.
 */
import type { QuotaSettings } from '../configuration/tenant-settings.js';
import type { Clock } from '../seams/clock.js';
import type { RandomSource } from '../seams/random-source.js';
import { AllowanceTable } from './allowance-table.js';
import type { TokenResponseMessage, TokenRequestMessage } from './quota-messages.js';
import { QuotaDecisionPath } from './quota-decision-path.js';
import { MAXIMUM_RETRY_AFTER_WINDOWS } from './retry-after-schedule.js';
import type { PendingTokenRequest, TenantAllowance, WaitingRequest } from './tenant-allowance.js';
import { ADMITTED, type QuotaDecision, type TenantQuota } from './tenant-quota.js';
import { isLimited, type Tenant } from './tenant.js';
import { UnconfirmedUses } from './unconfirmed-uses.js';

/**
 * Longest wait for an owner: the controllers elect another one in that time. An owner that is
 * away for longer is not waited for. Milliseconds.
 */
export const MAXIMUM_WAIT_MS = 2_000;
/** Where it is not known when a token is due: with an owner that may be found soon. Milliseconds. */
const OWNERLESS_RETRY_AFTER_MS = 1_000;
/** Part of a grant's lifetime for which tokens are asked for ahead. */
const PREFETCH_FRACTION = 0.5;
/** Most tenants of one frame, which keeps it far below the longest frame. */
const MAXIMUM_TENANTS_PER_FRAME = 1_000;

/** What a client goes by. */
export interface QuotaClientOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly settings: QuotaSettings;
  /** Gateways of the fleet, also those that are cut off; undefined while no controller has said it. */
  readonly countGateways: () => number | undefined;
  /** There is something to ask. */
  readonly onRequestQueued: () => void;
  readonly onDecision: (path: QuotaDecisionPath) => void;
}

/** See the module comment. */
export class QuotaClient implements TenantQuota {
  private readonly allowances: AllowanceTable;
  private readonly unconfirmed: UnconfirmedUses;
  private readonly queued = new Set<TenantAllowance>();
  /** With a question that is not answered yet. */
  private readonly pending = new Set<TenantAllowance>();
  private isConnected = false;
  private ownerlessSince: number;

  constructor(private readonly options: QuotaClientOptions) {
    const { clock, settings } = options;
    this.allowances = new AllowanceTable(settings);
    const startedAt = clock.now();
    const { windowMs } = settings;
    this.unconfirmed = new UnconfirmedUses({ random: options.random, windowMs, startedAt });
    this.ownerlessSince = startedAt;
  }

  take(tenant: Tenant, until = Infinity): QuotaDecision | Promise<QuotaDecision> {
    if (!isLimited(tenant)) return ADMITTED;
    const now = this.options.clock.now();
    const allowance = this.allowances.getOrCreate(tenant, now);
    allowance.demand.record(now);
    allowance.lastUsedAt = now;
    if (allowance.useToken(now)) return this.admit(QuotaDecisionPath.Granted);
    if (allowance.retrySchedule.isTokenUnavailable(now)) {
      allowance.refused += 1;
      return this.refuse(allowance, now);
    }
    if (!this.isConnected) return this.takeWithoutOwner(allowance, now, until);
    if (this.unconfirmed.takeWithOwner(allowance, now)) {
      return this.admitUnconfirmed(allowance, QuotaDecisionPath.Unconfirmed);
    }
    return this.waitForToken(allowance, now, until);
  }

  returnToken(tenant: Tenant, takenAt: number): void {
    const allowance = this.allowances.find(tenant.name);
    if (allowance === undefined || !isLimited(tenant)) return;
    const now = this.options.clock.now();
    // What is returned later could be used besides what the bucket has gained meanwhile.
    if (now - takenAt > allowance.bounds.returnTimeoutMs) return;
    allowance.recordReturned(1, now);
    this.enqueue(allowance);
  }

  /** The connection to the owner is open: it answers questions. */
  handleConnected(): void {
    this.isConnected = true;
    this.updateFleetSize();
  }

  /** The owner is lost: what it was asked may have been granted, which is then not used. */
  handleDisconnected(): void {
    if (this.isConnected) this.ownerlessSince = this.options.clock.now();
    this.isConnected = false;
    this.endRound();
  }

  /** All answers to what was asked have come: questions without one are asked again. */
  endRound(): void {
    if (this.isConnected) this.updateFleetSize();
    for (const allowance of this.pending) this.requeue(allowance);
    this.pending.clear();
  }

  /** What to ask the owner now; each tenant has one open question at most. */
  takeRequests(): TokenRequestMessage[] {
    const requests: TokenRequestMessage[] = [];
    for (const allowance of this.queued) {
      if (requests.length >= MAXIMUM_TENANTS_PER_FRAME) break;
      if (allowance.pendingRequest !== undefined) continue;
      this.queued.delete(allowance);
      if (!this.needsRequest(allowance)) continue;
      this.pending.add(allowance);
      requests.push(this.createRequest(allowance));
    }
    return requests;
  }

  /** The owner's answer to a question. One to no question is of no use, and is dropped. */
  handleResponse(response: TokenResponseMessage): void {
    const allowance = this.allowances.find(response.tenant);
    if (allowance?.pendingRequest === undefined) return;
    const { pendingRequest: pendingRequest } = allowance;
    const now = this.options.clock.now();
    allowance.pendingRequest = undefined;
    this.pending.delete(allowance);
    allowance.unconfirmed -= pendingRequest.spent;
    allowance.pressureUntil = now + response.pressureMs;
    const isUsable = now <= pendingRequest.requestedAt + allowance.bounds.tokenLifetimeMs;
    if (isUsable) this.applyGrant(allowance, pendingRequest, response, now);
    else this.discardGrant(allowance, pendingRequest, response, now);
    if (this.needsRequest(allowance)) this.enqueue(allowance);
  }

  /** Ends the wait of requests whose time is over before the next call; called while {@link hasWaiting}. */
  expireWaiting(nextCallMs: number): void {
    const nextCallAt = this.options.clock.now() + nextCallMs;
    for (const allowance of this.queued) {
      allowance.waiting = this.refuseExpired(allowance, allowance.waiting, nextCallAt);
    }
    for (const allowance of this.pending) {
      const { pendingRequest: pendingRequest } = allowance;
      if (pendingRequest === undefined) continue;
      pendingRequest.waiting = this.refuseExpired(allowance, pendingRequest.waiting, nextCallAt);
    }
  }

  /** Whether there is something to ask. */
  get hasRequests(): boolean {
    return this.queued.size > 0;
  }

  /** Whether requests wait for an answer or an owner. */
  get hasWaiting(): boolean {
    for (const { waiting } of this.queued) if (waiting.length > 0) return true;
    return this.pending.size > 0;
  }

  private updateFleetSize(): void {
    const { clock, countGateways } = this.options;
    this.unconfirmed.fleetSize.update(countGateways(), clock.now());
  }

  private admit(path: QuotaDecisionPath): QuotaDecision {
    this.options.onDecision(path);
    return ADMITTED;
  }

  /** Behind those that were told to come back before, each at a time of its own. */
  private refuse(allowance: TenantAllowance, now: number): QuotaDecision {
    this.options.onDecision(QuotaDecisionPath.Refused);
    const horizonMs = this.options.settings.windowMs * MAXIMUM_RETRY_AFTER_WINDOWS;
    return { isAdmitted: false, retryAfterMs: allowance.retrySchedule.reserve(horizonMs, now) };
  }

  private refuseWithoutOwner(allowance: TenantAllowance): QuotaDecision {
    allowance.refusedWithoutOwner += 1;
    this.options.onDecision(QuotaDecisionPath.RefusedWithoutOwner);
    const spread = 0.5 + this.options.random.nextFloat();
    return { isAdmitted: false, retryAfterMs: OWNERLESS_RETRY_AFTER_MS * spread };
  }

  private admitUnconfirmed(allowance: TenantAllowance, path: QuotaDecisionPath): QuotaDecision {
    allowance.spent += 1;
    allowance.unconfirmed += 1;
    this.enqueue(allowance);
    return this.admit(path);
  }

  /** Refuses those whose time is over at `by`, and gives back the others. */
  private refuseExpired(
    allowance: TenantAllowance,
    waiting: readonly WaitingRequest[],
    by: number,
  ): WaitingRequest[] {
    const expired = waiting.filter(({ deadline }) => deadline <= by);
    for (const { decide } of expired) decide(this.refuseWithoutOwner(allowance));
    return waiting.filter(({ deadline }) => deadline > by);
  }

  private takeWithoutOwner(
    allowance: TenantAllowance,
    now: number,
    until: number,
  ): QuotaDecision | Promise<QuotaDecision> {
    if (this.unconfirmed.takeWithoutOwner(allowance, now)) {
      return this.admitUnconfirmed(allowance, QuotaDecisionPath.WithoutOwner);
    }
    const isWaitAllowed = now - this.ownerlessSince < MAXIMUM_WAIT_MS;
    return isWaitAllowed
      ? this.waitForToken(allowance, now, until)
      : this.refuseWithoutOwner(allowance);
  }

  private waitForToken(
    allowance: TenantAllowance,
    now: number,
    until: number,
  ): Promise<QuotaDecision> {
    return new Promise((decide) => {
      const deadline = Math.min(now + MAXIMUM_WAIT_MS, until);
      allowance.waiting.push({ decide, deadline });
      this.enqueue(allowance);
    });
  }

  private enqueue(allowance: TenantAllowance): void {
    this.queued.add(allowance);
    this.options.onRequestQueued();
  }

  private needsRequest({ waiting, spent, hasReturned }: TenantAllowance): boolean {
    return waiting.length > 0 || spent > 0 || hasReturned;
  }

  private createRequest(allowance: TenantAllowance): TokenRequestMessage {
    const now = this.options.clock.now();
    allowance.discardExpiredTokens(now);
    const returned = allowance.takeReturned(now);
    const { spent, waiting, demand, bounds, tokens, refused, refusedWithoutOwner } = allowance;
    allowance.pendingRequest = { requestedAt: now, spent, waiting };
    allowance.spent = 0;
    allowance.refused = 0;
    allowance.refusedWithoutOwner = 0;
    allowance.waiting = [];
    const expected = Math.floor(demand.perMs(now) * bounds.tokenLifetimeMs * PREFETCH_FRACTION);
    const ahead = Math.max(0, expected - tokens);
    return {
      kind: 'ask',
      tenant: allowance.tenant.name,
      spent,
      returned,
      waiting: waiting.length,
      ahead,
      refused,
      refusedWithoutOwner,
    };
  }

  private applyGrant(
    allowance: TenantAllowance,
    { requestedAt: askedAt, waiting }: PendingTokenRequest,
    response: TokenResponseMessage,
    now: number,
  ): void {
    const { granted } = response;
    const admitted = waiting.slice(0, granted);
    for (const { decide } of admitted) decide(this.admit(QuotaDecisionPath.Asked));
    allowance.addTokens(granted - admitted.length, askedAt + allowance.bounds.tokenLifetimeMs);
    const refused = waiting.slice(granted);
    if (refused.length === 0) return;
    allowance.retrySchedule.update(response, now);
    for (const { decide } of refused) decide(this.refuse(allowance, now));
  }

  /** The answer took longer than its tokens are valid: those that wait are asked for again. */
  private discardGrant(
    allowance: TenantAllowance,
    { requestedAt: askedAt, waiting }: PendingTokenRequest,
    { granted }: TokenResponseMessage,
    now: number,
  ): void {
    const { tokenLifetimeMs: lifetimeMs, returnTimeoutMs: returnMs } = allowance.bounds;
    if (now <= askedAt + lifetimeMs + returnMs) allowance.recordReturned(granted, now);
    this.requeueWaiting(allowance, waiting);
  }

  private requeue(allowance: TenantAllowance): void {
    const { pendingRequest: pendingRequest } = allowance;
    if (pendingRequest === undefined) return;
    allowance.pendingRequest = undefined;
    allowance.spent += pendingRequest.spent;
    this.requeueWaiting(allowance, pendingRequest.waiting);
    this.enqueue(allowance);
  }

  private requeueWaiting(allowance: TenantAllowance, waiting: readonly WaitingRequest[]): void {
    allowance.waiting = [...waiting, ...allowance.waiting];
  }
}
