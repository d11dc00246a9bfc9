/**
 * Decides at a gateway which requests of tenants are passed on. Load: few requests of a tenant at
 * each of many gateways, and many of one tenant at some or all of them.
 *
 * A request takes a token that was granted ahead, else it is passed on at once if so few uses
 * without a token are allowed to this gateway that those of all gateways stay within the bounds,
 * else the owner is asked. While the tenant's next token is not due it is refused at once.
 *
 * Without an owner each gateway may pass on its share of the unconfirmed uses in each window of
 * its own. A share below one is drawn by chance: the expected sum of all gateways is within the
 * bounds, and a tenant with a request at one gateway is not refused for certain. A sliding window
 * touches two such windows, so each has half of the share.
 */
import type { QuotaSettings } from '../configuration/tenant-settings.js';
import type { Clock } from '../seams/clock.js';
import type { RandomSource } from '../seams/random-source.js';
import { boundsOf } from './quota-bounds.js';
import type { QuotaAnswerMessage, QuotaAskMessage } from './quota-messages.js';
import { TenantAllowance, type OpenQuestion, type WaitingRequest } from './tenant-allowance.js';
import { ADMITTED, type QuotaDecision, type TenantQuota } from './tenant-quota.js';
import { isLimited, type Tenant } from './tenant.js';

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
/** How often tenants that are not used any more are forgotten, in windows. */
const FORGET_WINDOWS = 4;

/** How a request was decided. */
export enum QuotaPath {
  /** By a token that was held. */
  Granted = 'granted',
  /** Without a token; the owner is told. */
  Unconfirmed = 'unconfirmed',
  /** By a token that it waited for. */
  Asked = 'asked',
  /** Without an owner, within the bound for that. */
  WithoutOwner = 'without_owner',
  /** The tenant has reached its limit. */
  Refused = 'refused',
  /** No owner could be asked. */
  RefusedWithoutOwner = 'refused_without_owner',
}

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
  private readonly allowances = new Map<string, TenantAllowance>();
  private readonly wanted = new Set<TenantAllowance>();
  /** With a question that is not answered yet. */
  private readonly open = new Set<TenantAllowance>();
  private isConnected = false;
  private withoutOwnerSince: number;
  private knownGateways: number | undefined;
  private lookedAt: number;

  constructor(private readonly options: QuotaClientOptions) {
    this.withoutOwnerSince = options.clock.now();
    this.lookedAt = this.withoutOwnerSince;
  }

  take(tenant: Tenant): QuotaDecision | Promise<QuotaDecision> {
    if (!isLimited(tenant)) return ADMITTED;
    const now = this.options.clock.now();
    const allowance = this.allowanceOf(tenant, now);
    allowance.demand.note(now);
    allowance.lastUsedAt = now;
    if (allowance.useToken(now)) return this.admit(QuotaPath.Granted);
    if (now < allowance.nextTokenAt) return this.refuse(allowance, now);
    if (!this.isConnected) return this.takeWithoutOwner(allowance, now);
    if (this.mayPassUnconfirmed(allowance, now)) {
      this.passUnconfirmed(allowance);
      return this.admit(QuotaPath.Unconfirmed);
    }
    return this.wait(allowance, now);
  }

  giveBack(tenant: Tenant, takenAt: number): void {
    const allowance = this.allowances.get(tenant.name);
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
  }

  /** The owner is lost: what it was asked may have been granted, which is then not used. */
  lost(): void {
    if (this.isConnected) this.withoutOwnerSince = this.options.clock.now();
    this.isConnected = false;
    this.endRound();
  }

  /** All answers to what was asked have come: questions without one are asked again. */
  endRound(): void {
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
    const allowance = this.allowances.get(answer.tenant);
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

  /** Ends the wait of requests whose time is over; called while {@link hasWaiting}. */
  expire(): void {
    const now = this.options.clock.now();
    for (const allowance of this.wanted) {
      const over = allowance.waiting.filter(({ deadline }) => deadline <= now);
      if (over.length === 0) continue;
      allowance.waiting = allowance.waiting.filter(({ deadline }) => deadline > now);
      for (const { decide } of over) decide(this.refuseWithoutOwner());
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

  private allowanceOf(tenant: Tenant, now: number): TenantAllowance {
    this.forgetIdle(now);
    const known = this.allowances.get(tenant.name);
    if (known?.tenant === tenant) return known;
    const bounds = boundsOf(tenant, this.options.settings);
    if (known !== undefined) {
      known.tenant = tenant;
      known.bounds = bounds;
      return known;
    }
    const allowance = new TenantAllowance(tenant, bounds);
    this.allowances.set(tenant.name, allowance);
    return allowance;
  }

  private forgetIdle(now: number): void {
    const { windowMs } = this.options.settings;
    if (now - this.lookedAt < windowMs * FORGET_WINDOWS) return;
    this.lookedAt = now;
    for (const [name, allowance] of this.allowances) {
      if (!allowance.isIdle(now, 2 * windowMs)) continue;
      this.allowances.delete(name);
      this.wanted.delete(allowance);
    }
  }

  private admit(path: QuotaPath): QuotaDecision {
    this.options.onDecision(path);
    return ADMITTED;
  }

  /** Behind those that were told to come back before, each at a time of its own. */
  private refuse(allowance: TenantAllowance, now: number): QuotaDecision {
    this.options.onDecision(QuotaPath.Refused);
    const { windowMs } = this.options.settings;
    const earliest = Math.max(allowance.returnAt, allowance.nextTokenAt);
    const latest = Math.max(allowance.nextTokenAt, now + 2 * windowMs);
    const returnAt = Math.min(earliest, latest);
    allowance.returnAt = returnAt + allowance.returnSpacingMs;
    return { isAdmitted: false, retryAfterMs: Math.max(1, returnAt - now) };
  }

  private refuseWithoutOwner(): QuotaDecision {
    this.options.onDecision(QuotaPath.RefusedWithoutOwner);
    const spread = 0.5 + this.options.random.nextFloat();
    return { isAdmitted: false, retryAfterMs: UNKNOWN_RETRY_MS * spread };
  }

  /** Of all gateways together each may have as many uses unconfirmed as keep to the bounds. */
  private mayPassUnconfirmed(allowance: TenantAllowance, now: number): boolean {
    if (now < allowance.pressureUntil) return false;
    return allowance.unconfirmed + 1 <= this.shareOf(allowance);
  }

  /** Of the uses that no owner has confirmed. Nothing while the number of gateways is not known. */
  private shareOf({ bounds }: TenantAllowance): number {
    this.knownGateways = this.options.countGateways() ?? this.knownGateways;
    if (this.knownGateways === undefined) return 0;
    return bounds.unconfirmed / Math.max(1, this.knownGateways);
  }

  private passUnconfirmed(allowance: TenantAllowance): void {
    allowance.spent += 1;
    allowance.unconfirmed += 1;
    this.want(allowance);
  }

  private takeWithoutOwner(
    allowance: TenantAllowance,
    now: number,
  ): QuotaDecision | Promise<QuotaDecision> {
    if (now - allowance.ownerlessSince >= this.options.settings.windowMs) {
      allowance.ownerlessSince = now;
      allowance.ownerlessLeft = this.drawShare(allowance) - allowance.unconfirmed;
    }
    if (allowance.ownerlessLeft >= 1) {
      allowance.ownerlessLeft -= 1;
      this.passUnconfirmed(allowance);
      return this.admit(QuotaPath.WithoutOwner);
    }
    if (now - this.withoutOwnerSince < LONGEST_WAIT_MS) return this.wait(allowance, now);
    return this.refuseWithoutOwner();
  }

  private drawShare(allowance: TenantAllowance): number {
    const share = this.shareOf(allowance) / 2;
    const whole = Math.floor(share);
    return this.options.random.nextFloat() < share - whole ? whole + 1 : whole;
  }

  private wait(allowance: TenantAllowance, now: number): Promise<QuotaDecision> {
    return new Promise((decide) => {
      allowance.waiting.push({ decide, deadline: now + LONGEST_WAIT_MS });
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
    const { spent, waiting, demand, bounds, tokens } = allowance;
    allowance.question = { askedAt: now, spent, waiting };
    allowance.spent = 0;
    allowance.waiting = [];
    const expected = Math.floor(demand.read(now) * bounds.lifetimeMs * AHEAD_PART);
    const ahead = Math.max(0, expected - tokens);
    const tenant = allowance.tenant.name;
    return { kind: 'ask', tenant, spent, returned, waiting: waiting.length, ahead };
  }

  private useGrant(
    allowance: TenantAllowance,
    { askedAt, waiting }: OpenQuestion,
    { granted, nextTokenMs, retryAfterMs, retrySpacingMs }: QuotaAnswerMessage,
    now: number,
  ): void {
    const admitted = waiting.slice(0, granted);
    for (const { decide } of admitted) decide(this.admit(QuotaPath.Asked));
    const ahead = granted - admitted.length;
    if (ahead > 0) {
      // Of tokens of two grants the older end counts for all.
      const isHeld = allowance.tokens > 0;
      const until = askedAt + allowance.bounds.lifetimeMs;
      allowance.tokensUntil = isHeld ? Math.min(allowance.tokensUntil, until) : until;
      allowance.tokens += ahead;
    }
    const refused = waiting.slice(granted);
    if (refused.length === 0) return;
    allowance.nextTokenAt = now + nextTokenMs;
    allowance.returnAt = now + retryAfterMs;
    allowance.returnSpacingMs = retrySpacingMs;
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
