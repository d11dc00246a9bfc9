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
import type { QuotaAnswerMessage, QuotaAskMessage } from './quota-messages.js';
import { QuotaPath } from './quota-path.js';
import { LONGEST_RETURN_WINDOWS } from './return-schedule.js';
import type { OpenQuestion, TenantAllowance, WaitingRequest } from './tenant-allowance.js';
import { ADMITTED, type QuotaDecision, type TenantQuota } from './tenant-quota.js';
import { isLimited, type Tenant } from './tenant.js';
import { UnconfirmedUses } from './unconfirmed-uses.js';

/**
 * Longest wait for an owner: the controllers elect another one in that time. An owner that is
 * away for longer is not waited for. Milliseconds.
 */
export const LONGEST_WAIT_MS = 2_000;
/** Where it is not known when a token is due: with an owner that may be found soon. Milliseconds. */
const UNKNOWN_RETRY_MS = 1_000;
/** Part of a grant's lifetime for which tokens are asked for ahead. */
const AHEAD_PART = 0.5;
/** Most tenants of one frame, which keeps it far below the longest frame. */
const ASKS_PER_FRAME = 1_000;

/** What a client goes by. */
export interface QuotaClientOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly settings: QuotaSettings;
  /** Gateways of the fleet, also those that are cut off; undefined while no controller has said it. */
  readonly countGateways: () => number | undefined;
  /** There is something to ask. */
  readonly onWanted: () => void;
  readonly onDecision: (path: QuotaPath) => void;
}

/** See the module comment. */
export class QuotaClient implements TenantQuota {
  private readonly allowances: AllowanceTable;
  private readonly unconfirmed: UnconfirmedUses;
  private readonly wanted = new Set<TenantAllowance>();
  /** With a question that is not answered yet. */
  private readonly open = new Set<TenantAllowance>();
  private isConnected = false;
  private withoutOwnerSince: number;

  constructor(private readonly options: QuotaClientOptions) {
    const { clock, settings } = options;
    this.allowances = new AllowanceTable(settings);
    const startedAt = clock.now();
    const { windowMs } = settings;
    this.unconfirmed = new UnconfirmedUses({ random: options.random, windowMs, startedAt });
    this.withoutOwnerSince = startedAt;
  }

  take(tenant: Tenant, until = Infinity): QuotaDecision | Promise<QuotaDecision> {
    if (!isLimited(tenant)) return ADMITTED;
    const now = this.options.clock.now();
    const allowance = this.allowances.of(tenant, now);
    allowance.demand.note(now);
    allowance.lastUsedAt = now;
    if (allowance.useToken(now)) return this.admit(QuotaPath.Granted);
    if (allowance.returns.isTokenAway(now)) {
      allowance.refused += 1;
      return this.refuse(allowance, now);
    }
    if (!this.isConnected) return this.takeWithoutOwner(allowance, now, until);
    if (this.unconfirmed.takeWithOwner(allowance, now)) {
      return this.passUnconfirmed(allowance, QuotaPath.Unconfirmed);
    }
    return this.wait(allowance, now, until);
  }

  giveBack(tenant: Tenant, takenAt: number): void {
    const allowance = this.allowances.find(tenant.name);
    if (allowance === undefined || !isLimited(tenant)) return;
    const now = this.options.clock.now();
    // What is returned later could be used besides what the bucket has gained meanwhile.
    if (now - takenAt > allowance.bounds.returnMs) return;
    allowance.noteReturned(1, now);
    this.want(allowance);
  }

  /** The connection to the owner is open: it answers questions. */
  connected(): void {
    this.isConnected = true;
    this.noteGateways();
  }

  /** The owner is lost: what it was asked may have been granted, which is then not used. */
  lost(): void {
    if (this.isConnected) this.withoutOwnerSince = this.options.clock.now();
    this.isConnected = false;
    this.endRound();
  }

  /** All answers to what was asked have come: questions without one are asked again. */
  endRound(): void {
    if (this.isConnected) this.noteGateways();
    for (const allowance of this.open) this.reopen(allowance);
    this.open.clear();
  }

  /** What to ask the owner now; each tenant has one open question at most. */
  takeAsks(): QuotaAskMessage[] {
    const asks: QuotaAskMessage[] = [];
    for (const allowance of this.wanted) {
      if (asks.length >= ASKS_PER_FRAME) break;
      if (allowance.question !== undefined) continue;
      this.wanted.delete(allowance);
      if (!this.hasWants(allowance)) continue;
      this.open.add(allowance);
      asks.push(this.ask(allowance));
    }
    return asks;
  }

  /** The owner's answer to a question. One to no question is of no use, and is dropped. */
  takeAnswer(answer: QuotaAnswerMessage): void {
    const allowance = this.allowances.find(answer.tenant);
    if (allowance?.question === undefined) return;
    const { question } = allowance;
    const now = this.options.clock.now();
    allowance.question = undefined;
    this.open.delete(allowance);
    allowance.unconfirmed -= question.spent;
    allowance.pressureUntil = now + answer.pressureMs;
    const isUsable = now <= question.askedAt + allowance.bounds.lifetimeMs;
    if (isUsable) this.useGrant(allowance, question, answer, now);
    else this.dropGrant(allowance, question, answer, now);
    if (this.hasWants(allowance)) this.want(allowance);
  }

  /** Ends the wait of requests whose time is over before the next call; called while {@link hasWaiting}. */
  expire(nextCallMs: number): void {
    const nextCallAt = this.options.clock.now() + nextCallMs;
    for (const allowance of this.wanted) {
      allowance.waiting = this.refuseOver(allowance, allowance.waiting, nextCallAt);
    }
    for (const allowance of this.open) {
      const { question } = allowance;
      if (question === undefined) continue;
      question.waiting = this.refuseOver(allowance, question.waiting, nextCallAt);
    }
  }

  /** Whether there is something to ask. */
  get hasAsks(): boolean {
    return this.wanted.size > 0;
  }

  /** Whether requests wait for an answer or an owner. */
  get hasWaiting(): boolean {
    for (const { waiting } of this.wanted) if (waiting.length > 0) return true;
    return this.open.size > 0;
  }

  private noteGateways(): void {
    const { clock, countGateways } = this.options;
    this.unconfirmed.fleet.note(countGateways(), clock.now());
  }

  private admit(path: QuotaPath): QuotaDecision {
    this.options.onDecision(path);
    return ADMITTED;
  }

  /** Behind those that were told to come back before, each at a time of its own. */
  private refuse(allowance: TenantAllowance, now: number): QuotaDecision {
    this.options.onDecision(QuotaPath.Refused);
    const horizonMs = this.options.settings.windowMs * LONGEST_RETURN_WINDOWS;
    return { isAdmitted: false, retryAfterMs: allowance.returns.next(horizonMs, now) };
  }

  private refuseWithoutOwner(allowance: TenantAllowance): QuotaDecision {
    allowance.refusedWithoutOwner += 1;
    this.options.onDecision(QuotaPath.RefusedWithoutOwner);
    const spread = 0.5 + this.options.random.nextFloat();
    return { isAdmitted: false, retryAfterMs: UNKNOWN_RETRY_MS * spread };
  }

  private passUnconfirmed(allowance: TenantAllowance, path: QuotaPath): QuotaDecision {
    allowance.spent += 1;
    allowance.unconfirmed += 1;
    this.want(allowance);
    return this.admit(path);
  }

  /** Refuses those whose time is over at `by`, and gives back the others. */
  private refuseOver(
    allowance: TenantAllowance,
    waiting: readonly WaitingRequest[],
    by: number,
  ): WaitingRequest[] {
    const over = waiting.filter(({ deadline }) => deadline <= by);
    for (const { decide } of over) decide(this.refuseWithoutOwner(allowance));
    return waiting.filter(({ deadline }) => deadline > by);
  }

  private takeWithoutOwner(
    allowance: TenantAllowance,
    now: number,
    until: number,
  ): QuotaDecision | Promise<QuotaDecision> {
    if (this.unconfirmed.takeWithoutOwner(allowance, now)) {
      return this.passUnconfirmed(allowance, QuotaPath.WithoutOwner);
    }
    const isAwaited = now - this.withoutOwnerSince < LONGEST_WAIT_MS;
    return isAwaited ? this.wait(allowance, now, until) : this.refuseWithoutOwner(allowance);
  }

  private wait(allowance: TenantAllowance, now: number, until: number): Promise<QuotaDecision> {
    return new Promise((decide) => {
      const deadline = Math.min(now + LONGEST_WAIT_MS, until);
      allowance.waiting.push({ decide, deadline });
      this.want(allowance);
    });
  }

  private want(allowance: TenantAllowance): void {
    this.wanted.add(allowance);
    this.options.onWanted();
  }

  private hasWants({ waiting, spent, hasReturned }: TenantAllowance): boolean {
    return waiting.length > 0 || spent > 0 || hasReturned;
  }

  private ask(allowance: TenantAllowance): QuotaAskMessage {
    const now = this.options.clock.now();
    allowance.dropStale(now);
    const returned = allowance.takeReturned(now);
    const { spent, waiting, demand, bounds, tokens, refused, refusedWithoutOwner } = allowance;
    allowance.question = { askedAt: now, spent, waiting };
    allowance.spent = 0;
    allowance.refused = 0;
    allowance.refusedWithoutOwner = 0;
    allowance.waiting = [];
    const expected = Math.floor(demand.read(now) * bounds.lifetimeMs * AHEAD_PART);
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

  private useGrant(
    allowance: TenantAllowance,
    { askedAt, waiting }: OpenQuestion,
    answer: QuotaAnswerMessage,
    now: number,
  ): void {
    const { granted } = answer;
    const admitted = waiting.slice(0, granted);
    for (const { decide } of admitted) decide(this.admit(QuotaPath.Asked));
    allowance.hold(granted - admitted.length, askedAt + allowance.bounds.lifetimeMs);
    const refused = waiting.slice(granted);
    if (refused.length === 0) return;
    allowance.returns.use(answer, now);
    for (const { decide } of refused) decide(this.refuse(allowance, now));
  }

  /** The answer took longer than its tokens are valid: those that wait are asked for again. */
  private dropGrant(
    allowance: TenantAllowance,
    { askedAt, waiting }: OpenQuestion,
    { granted }: QuotaAnswerMessage,
    now: number,
  ): void {
    const { lifetimeMs, returnMs } = allowance.bounds;
    if (now <= askedAt + lifetimeMs + returnMs) allowance.noteReturned(granted, now);
    this.putBack(allowance, waiting);
  }

  private reopen(allowance: TenantAllowance): void {
    const { question } = allowance;
    if (question === undefined) return;
    allowance.question = undefined;
    allowance.spent += question.spent;
    this.putBack(allowance, question.waiting);
    this.want(allowance);
  }

  private putBack(allowance: TenantAllowance, waiting: readonly WaitingRequest[]): void {
    allowance.waiting = [...waiting, ...allowance.waiting];
  }
}
