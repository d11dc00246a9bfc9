/**
 * Decides at a gateway which requests of tenants are admitted. Designed for few requests of a tenant
 * at each of many gateways as well as for many requests of one tenant at some or all of them.
 *
 * A request uses a prefetched token if there is one. Otherwise it is admitted at once without a token
 * if this gateway's share of unconfirmed uses, which keeps all gateways together within the bounds,
 * has room for it. Otherwise it waits for the owner's response. The owner also decides when a
 * refused request is retried: only it knows the tokens that are reserved for others.
 *
 * Without an owner a bounded number of requests is admitted (see unconfirmed-uses). Others wait for
 * a short time, in which the controllers elect an owner, and are refused when none is found.
 */
import type { QuotaSettings } from '../configuration/tenant-settings.js';
import type { Clock } from '../seams/clock.js';
import type { RandomSource } from '../seams/random-source.js';
import { AllowanceTable } from './allowance-table.js';
import type { AssignedRetry } from './assigned-retries.js';
import { readDecisions, type CallerDecision } from './caller-decisions.js';
import { callerOf, drawCaller } from './caller-identity.js';
import type { TokenRequest, TokenResponse } from './quota-messages.js';
import { QuotaDecisionPath } from './quota-decision-path.js';
import type { PendingTokenRequest, TenantAllowance, WaitingRequest } from './tenant-allowance.js';
import { ADMITTED_NOW_MS } from './quota-account.js';
import { ADMITTED, type QuotaDecision, type TenantQuota } from './tenant-quota.js';
import { isLimited, type Tenant } from './tenant.js';
import { UnconfirmedUses } from './unconfirmed-uses.js';

/**
 * Maximum time for which a request waits for an owner; the controllers elect another one in that time.
 * Once no owner has been connected for longer, requests don't wait.
 */
export const MAXIMUM_WAIT_MS = 2_000;
/**
 * Time between two questions to controllers of who the owner is: a request that may wait less is
 * refused at once while no owner is connected.
 */
const OWNER_SEARCH_MS = 100;
/** Retry time without an owner, when it isn't known when a token is due; an owner may be found soon. */
const OWNERLESS_RETRY_AFTER_MS = 1_000;
/** Fraction of a token's lifetime for whose expected requests tokens are prefetched. */
const PREFETCH_FRACTION = 0.5;
/** Keeps a frame far below the maximum frame size. */
const MAXIMUM_TENANTS_PER_FRAME = 1_000;

/** Who waits for the owner's response, and the clock reading in milliseconds until which it may wait. */
interface CallerWait {
  readonly caller: string;
  readonly until: number;
}

/** Dependencies and settings of a {@link QuotaClient}. */
export interface QuotaClientOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly settings: QuotaSettings;
  /**
   * Number of gateways in the fleet, including partitioned ones; undefined until a controller has
   * reported it.
   */
  readonly countGateways: () => number | undefined;
  /** Called when a token request is queued. */
  readonly onRequestQueued: () => void;
  readonly onDecision: (path: QuotaDecisionPath) => void;
}

/** Retries that a new owner has to know. Includes those already due, whose requests may be waiting here. */
function retriesToReport(
  { assignedRetries, bounds }: TenantAllowance,
  now: number,
): readonly AssignedRetry[] {
  return assignedRetries.dueFrom(now - bounds.retryHoldMs);
}

/** The rate limiter of one gateway. Has no timers and no connection of its own; the quota link drives it. */
export class QuotaClient implements TenantQuota {
  private readonly allowances: AllowanceTable;
  private readonly unconfirmed: UnconfirmedUses;
  private readonly queued = new Set<TenantAllowance>();
  /** Allowances whose token request isn't answered yet. */
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

  take(
    tenant: Tenant,
    until = Infinity,
    fingerprint?: string,
  ): QuotaDecision | Promise<QuotaDecision> {
    if (!isLimited(tenant)) return ADMITTED;
    const now = this.options.clock.now();
    const allowance = this.allowances.getOrCreate(tenant, now);
    allowance.demand.record(now);
    allowance.lastUsedAt = now;
    if (allowance.useToken(now)) return this.admit(QuotaDecisionPath.Granted);
    const waiting = { caller: this.identify(allowance, fingerprint, now), until };
    if (!this.isConnected) return this.takeWithoutOwner(allowance, now, waiting);
    if (this.unconfirmed.takeWithOwner(allowance, now)) {
      return this.admitUnconfirmed(allowance, QuotaDecisionPath.Unconfirmed);
    }
    if (now - this.oldestQuestionAt > waiting.until - now)
      return this.refuseWithoutOwner(allowance);
    return this.waitForToken(allowance, now, waiting);
  }

  /**
   * When the token requests that are not answered yet were sent; Infinity when there are none. An owner
   * that has been silent for longer than a request may wait is not expected to answer it in time.
   */
  private get oldestQuestionAt(): number {
    let oldest = Infinity;
    for (const { pendingRequest } of this.pending)
      oldest = Math.min(oldest, pendingRequest?.requestedAt ?? Infinity);
    return oldest;
  }

  returnToken(tenant: Tenant, takenAt: number): void {
    const allowance = this.allowances.find(tenant.name);
    if (allowance === undefined || !isLimited(tenant)) return;
    const now = this.options.clock.now();
    // A token returned later could be used in addition to the tokens that the bucket has gained meanwhile.
    if (now - takenAt > allowance.bounds.returnTimeoutMs) return;
    allowance.recordReturned(1, now);
    this.enqueue(allowance);
  }

  /** Call when the connection to the owner is open and the owner responds to token requests. */
  handleConnected(): void {
    this.isConnected = true;
    this.updateFleetSize();
    const now = this.options.clock.now();
    for (const allowance of this.allowances.values()) {
      allowance.mustReportRetries = retriesToReport(allowance, now).length > 0;
      if (allowance.mustReportRetries) this.enqueue(allowance);
    }
  }

  /**
   * Call when the owner is lost. Tokens that it may have granted in response to pending requests
   * stay unused.
   */
  handleDisconnected(): void {
    if (this.isConnected) this.ownerlessSince = this.options.clock.now();
    this.isConnected = false;
    this.endRound();
  }

  /** Call when all responses of a round have arrived; token requests without one are queued again. */
  endRound(): void {
    if (this.isConnected) this.updateFleetSize();
    for (const allowance of this.pending) this.requeue(allowance);
    this.pending.clear();
  }

  /** Takes the token requests to send now. Each tenant has at most one pending request. */
  takeRequests(): TokenRequest[] {
    const requests: TokenRequest[] = [];
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

  /**
   * Handles the owner's response. Ignores a response without a pending request.
   *
   * @throws RangeError when the response doesn't fit the request; its requests stay pending.
   */
  handleResponse(response: TokenResponse): void {
    const allowance = this.allowances.find(response.tenant);
    if (allowance?.pendingRequest === undefined) return;
    const { pendingRequest } = allowance;
    const decisions = readDecisions(response, pendingRequest);
    const now = this.options.clock.now();
    allowance.pendingRequest = undefined;
    this.pending.delete(allowance);
    allowance.unconfirmed -= pendingRequest.spent;
    allowance.pressureUntil = now + response.pressureMs;
    const isUsable = now <= pendingRequest.requestedAt + allowance.bounds.tokenLifetimeMs;
    if (isUsable) this.applyGrant(allowance, pendingRequest, response.granted, decisions, now);
    else this.discardGrant(allowance, pendingRequest, response, now);
    if (this.needsRequest(allowance)) this.enqueue(allowance);
  }

  /**
   * Refuses waiting requests whose deadline passes before the next call, in `nextCallMs`. Call it
   * while {@link hasWaiting}.
   */
  expireWaiting(nextCallMs: number): void {
    const nextCallAt = this.options.clock.now() + nextCallMs;
    for (const allowance of this.queued) {
      allowance.waiting = this.refuseExpired(allowance, allowance.waiting, nextCallAt);
    }
    for (const allowance of this.pending) {
      const { pendingRequest } = allowance;
      if (pendingRequest === undefined) continue;
      const waiting = this.refuseExpired(allowance, pendingRequest.undecided, nextCallAt);
      pendingRequest.undecided = new Set(waiting);
    }
  }

  /** Clock reading at which the first of the waiting requests is refused; Infinity when none waits. */
  get earliestDeadline(): number {
    let earliest = Infinity;
    for (const { waiting, pendingRequest } of new Set([...this.queued, ...this.pending])) {
      for (const { deadline } of waiting) earliest = Math.min(earliest, deadline);
      for (const { deadline } of pendingRequest?.undecided ?? [])
        earliest = Math.min(earliest, deadline);
    }
    return earliest;
  }

  /** Whether token requests are queued. */
  get hasRequests(): boolean {
    return this.queued.size > 0;
  }

  /** Whether requests wait for a response or an owner. */
  get hasWaiting(): boolean {
    for (const { waiting } of this.queued) if (waiting.length > 0) return true;
    return this.pending.size > 0;
  }

  /** A request without a fingerprint counts as the retry that is due at this gateway, if there is one. */
  private identify(
    { assignedRetries, bounds }: TenantAllowance,
    fingerprint: string | undefined,
    now: number,
  ): string {
    if (fingerprint !== undefined) return callerOf(fingerprint);
    return assignedRetries.takeDue(now, bounds.retryHoldMs) ?? drawCaller(this.options.random);
  }

  private updateFleetSize(): void {
    const { clock, countGateways } = this.options;
    this.unconfirmed.fleetSize.update(countGateways(), clock.now());
  }

  private admit(path: QuotaDecisionPath): QuotaDecision {
    this.options.onDecision(path);
    return ADMITTED;
  }

  private refuse(retryAfterMs: number): QuotaDecision {
    this.options.onDecision(QuotaDecisionPath.Refused);
    return { isAdmitted: false, retryAfterMs };
  }

  private refuseWithoutOwner(allowance: TenantAllowance): QuotaDecision {
    allowance.refusedWithoutOwner += 1;
    this.options.onDecision(QuotaDecisionPath.RefusedWithoutOwner);
    const spread = 0.5 + this.options.random.nextFloat();
    const retryAfterMs = OWNERLESS_RETRY_AFTER_MS * spread;
    return { isAdmitted: false, retryAfterMs, isUndecided: true };
  }

  private admitUnconfirmed(allowance: TenantAllowance, path: QuotaDecisionPath): QuotaDecision {
    allowance.spent += 1;
    allowance.unconfirmed += 1;
    this.enqueue(allowance);
    return this.admit(path);
  }

  /** Refuses the requests whose deadline is at or before `by`, and returns the others. */
  private refuseExpired(
    allowance: TenantAllowance,
    waiting: Iterable<WaitingRequest>,
    by: number,
  ): WaitingRequest[] {
    const all = [...waiting];
    const expired = all.filter(({ deadline }) => deadline <= by);
    for (const { decide } of expired) decide(this.refuseWithoutOwner(allowance));
    return all.filter(({ deadline }) => deadline > by);
  }

  private takeWithoutOwner(
    allowance: TenantAllowance,
    now: number,
    waiting: CallerWait,
  ): QuotaDecision | Promise<QuotaDecision> {
    if (this.unconfirmed.takeWithoutOwner(allowance, now)) {
      return this.admitUnconfirmed(allowance, QuotaDecisionPath.WithoutOwner);
    }
    const isWaitAllowed = now - this.ownerlessSince < MAXIMUM_WAIT_MS;
    return isWaitAllowed && waiting.until - now >= OWNER_SEARCH_MS
      ? this.waitForToken(allowance, now, waiting)
      : this.refuseWithoutOwner(allowance);
  }

  private waitForToken(
    allowance: TenantAllowance,
    now: number,
    { caller, until }: CallerWait,
  ): Promise<QuotaDecision> {
    return new Promise((decide) => {
      const deadline = Math.min(now + MAXIMUM_WAIT_MS, until);
      allowance.waiting.push({ decide, caller, deadline });
      this.enqueue(allowance);
    });
  }

  private enqueue(allowance: TenantAllowance): void {
    this.queued.add(allowance);
    this.options.onRequestQueued();
  }

  private needsRequest(allowance: TenantAllowance): boolean {
    const { waiting, spent, hasReturned, mustReportRetries } = allowance;
    return waiting.length > 0 || spent > 0 || hasReturned || mustReportRetries;
  }

  private createRequest(allowance: TenantAllowance): TokenRequest {
    const now = this.options.clock.now();
    allowance.discardExpiredTokens(now);
    const returned = allowance.takeReturned(now);
    const { spent, waiting, demand, bounds, tokens, refusedWithoutOwner } = allowance;
    allowance.pendingRequest = { requestedAt: now, spent, waiting, undecided: new Set(waiting) };
    allowance.spent = 0;
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
      refused: 0,
      refusedWithoutOwner,
      callers: waiting.map(({ caller }) => caller),
      ...this.takeRetriesToReport(allowance, now),
    };
  }

  private takeRetriesToReport(
    allowance: TenantAllowance,
    now: number,
  ): Pick<TokenRequest, 'reservations'> {
    if (!allowance.mustReportRetries) return {};
    allowance.mustReportRetries = false;
    return {
      reservations: retriesToReport(allowance, now).map(({ caller, reservedFrom }) => ({
        caller,
        dueInMs: Math.max(0, reservedFrom - now),
      })),
    };
  }

  private applyGrant(
    allowance: TenantAllowance,
    { requestedAt }: PendingTokenRequest,
    granted: number,
    decisions: readonly CallerDecision[],
    now: number,
  ): void {
    allowance.assignedRetries.discardBefore(now - allowance.bounds.retryHoldMs);
    let admitted = 0;
    for (const { request, retryAfterMs } of decisions) {
      if (retryAfterMs === ADMITTED_NOW_MS) {
        admitted += 1;
        allowance.assignedRetries.remove(request.caller);
        request.decide(this.admit(QuotaDecisionPath.Asked));
        continue;
      }
      const reservedFrom = requestedAt + retryAfterMs;
      const { caller } = request;
      allowance.assignedRetries.add({ caller, dueAt: now + retryAfterMs, reservedFrom });
      request.decide(this.refuse(retryAfterMs));
    }
    allowance.addTokens(granted - admitted, requestedAt + allowance.bounds.tokenLifetimeMs);
  }

  /** Handles a response that arrived after its tokens expired: the waiting requests are queued again. */
  private discardGrant(
    allowance: TenantAllowance,
    { requestedAt, undecided }: PendingTokenRequest,
    { granted }: TokenResponse,
    now: number,
  ): void {
    const { tokenLifetimeMs, returnTimeoutMs } = allowance.bounds;
    if (now <= requestedAt + tokenLifetimeMs + returnTimeoutMs)
      allowance.recordReturned(granted, now);
    this.requeueWaiting(allowance, undecided);
  }

  private requeue(allowance: TenantAllowance): void {
    const { pendingRequest } = allowance;
    if (pendingRequest === undefined) return;
    allowance.pendingRequest = undefined;
    allowance.spent += pendingRequest.spent;
    this.requeueWaiting(allowance, pendingRequest.undecided);
    this.enqueue(allowance);
  }

  private requeueWaiting(allowance: TenantAllowance, waiting: Iterable<WaitingRequest>): void {
    allowance.waiting = [...waiting, ...allowance.waiting];
  }
}
