/**
 * Has a leaf query one group of shards. Another leaf is tried when the first one declines, is lost
 * or does not report within its usual time; when no leaf is reachable, this gateway queries the
 * shards itself. A leaf that may have sent requests to replicas counts as an attempt: the next
 * leaf gets fewer attempts, and each attempt that it sends takes from the retry budget.
 */
import type { LogFields } from '../observability/logger.js';
import type { Timer } from '../seams/clock.js';
import type { CallerRequest } from '../gateway/caller-request.js';
import type { ExtraAttemptBudget } from '../gateway/extra-attempt-budget.js';
import type { GatewayContext } from '../gateway/gateway-context.js';
import type { GatheredParts, PartListener, PartSource } from '../gateway/part-source.js';
import { targetLatencyOf } from '../gateway/route-latencies.js';
import { ShardGather } from '../gateway/shard-gather.js';
import type { PartsMessage } from './aggregation-messages.js';
import type { LeafGroup } from './leaf-group.js';
import type { LeafLatencies } from './leaf-latencies.js';
import { beginLeafAttempt, leafAttemptFields, type LeafAttempt } from './leaf-attempt.js';
import type { GatherCall, LeafLink } from './leaf-link.js';
import type { LeafPool } from './leaf-pool.js';

/** Maximum number of leaves that are tried in turn. */
const MAXIMUM_LEAVES_TRIED = 3;
/** Time for a leaf's report to arrive and be merged before the root answers. */
const REPORT_MARGIN_MS = 6;
/**
 * The same for a relay: covers a round trip between zones and the reports of the relay's leaves. A
 * relay's report that arrives too late costs many shards at once; parts that reach the relay after
 * its report are forwarded one by one and may still be in time.
 */
const RELAY_REPORT_MARGIN_MS = 24;

/** Dependencies that all gathers of a root share. */
export interface GroupGatherContext {
  /** Used for shards that this gateway queries itself because no leaf is reachable. */
  readonly rootContext: GatewayContext;
  /** Used for groups whose first leaf is this gateway. */
  readonly leafContext: GatewayContext;
  readonly ownName: string;
  readonly pool: LeafPool;
  readonly latencies: LeafLatencies;
  /** Bounds the groups that are given to another leaf beside a silent one. */
  readonly repeats: ExtraAttemptBudget;
}

/** The group to query and its terms. */
export interface GroupGatherOptions {
  readonly group: LeafGroup;
  /** Number of shards of the whole request. */
  readonly totalShards: number;
  /** An encoded `RequestMessage`. */
  readonly encodedRequest: Uint8Array;
  /** At a relay: the root may have assigned the shards to another gateway before. */
  readonly isRepeat?: boolean;
  /** At a relay: when the relay must report to the root. Clock reading. */
  readonly reportAt?: number;
  /**
   * At a relay: called before a further attempt to any shard that may already have received the
   * request. After it has returned false, {@link GroupGather.handleGrant} is called if the root
   * grants further attempts.
   */
  readonly maySendAgain?: () => boolean;
}

/** Passes on the part of each shard at most once; fails the rest when no further leaf is tried. */
export class GroupGather implements PartSource, PartListener {
  private readonly missing: Set<string>;
  private readonly attempts: LeafAttempt[] = [];
  private readonly triedLeaves = new Set<string>();
  private readonly active = new Set<LeafAttempt>();
  private localGather: ShardGather | undefined;
  private reportTimer: Timer | undefined;
  private mayHaveRun = false;
  /** Attempts left per missing shard, over all leaves together. */
  private attemptsLeft: number;
  private isDone = false;
  // Steps that wait for the root's grant; see `GroupGatherOptions.maySendAgain`.
  private isHedgePending = false;
  private isReplacementPending = false;
  private isNextLeafPending = false;

  constructor(
    private readonly context: GroupGatherContext,
    private readonly request: CallerRequest,
    private readonly options: GroupGatherOptions,
    private readonly listener: PartListener,
  ) {
    this.missing = new Set(options.group.shards);
    this.attemptsLeft = request.route.maximumAttempts;
  }

  private get group(): LeafGroup {
    return this.options.group;
  }

  start(): void {
    const { ownName, leafContext, latencies, repeats } = this.context;
    if (this.group.leaves[0]?.name === ownName) {
      this.gatherLocally(leafContext, false);
      return;
    }
    repeats.recordRequest(1);
    const { clock } = leafContext.environment;
    const reportTimeoutMs = latencies.reportTimeoutMs(this.request.route);
    this.reportTimer = clock.setTimer(reportTimeoutMs, () => this.replaceSilentLeaf(), {
      afterReading: true,
    });
    this.tryNextLeaf();
  }

  cancel(reason: string): void {
    this.isDone = true;
    this.reportTimer?.cancel();
    this.localGather?.cancel(reason);
    for (const attempt of this.active) attempt.handle?.cancel();
  }

  get sends(): number {
    const atLeaves = this.attempts.reduce((sum, { sends }) => sum + sends, 0);
    return atLeaves + (this.localGather?.sends ?? 0);
  }

  get shardsQueriedHere(): number {
    return this.localGather?.shardsQueriedHere ?? 0;
  }

  get mayHaveSent(): boolean {
    // A leaf that was lost before it reported may have sent requests to replicas.
    return this.active.size > 0 || this.sends > 0 || this.mayHaveRun;
  }

  get mayRun(): boolean {
    return this.mayHaveRun || this.active.size > 0 || this.localGather?.mayRun === true;
  }

  missingAttempts(receivedAt: number): readonly LogFields[] {
    if (this.missing.size === 0) return [];
    const atLeaves = this.attempts.map((attempt) =>
      leafAttemptFields(attempt, receivedAt, this.missing.size),
    );
    return [...atLeaves, ...(this.localGather?.missingAttempts(receivedAt) ?? [])];
  }

  onParts(parts: GatheredParts): void {
    if (this.isDone) return;
    for (const shard of parts.shards) this.missing.delete(shard);
    this.listener.onParts(parts);
  }

  /** Called for shards that this gateway queries itself, after which no other leaf is tried. */
  onFailed(shards: readonly string[]): void {
    if (this.isDone) return;
    this.listener.onFailed(shards);
  }

  /** At a relay: handles the root's grant of further attempts. */
  handleGrant(): void {
    if (this.isDone) return;
    for (const attempt of this.active) {
      if (attempt.wantsGrant) this.grantTo(attempt);
    }
    if (this.isHedgePending) this.localGather?.hedge();
    if (this.isReplacementPending) this.replaceSilentLeaf();
    if (!this.isNextLeafPending) return;
    // Reset first: while it is set, no leaf would be tried after one that declines.
    this.isNextLeafPending = false;
    this.tryNextLeaf();
  }

  private get maySendAgain(): boolean {
    return this.options.maySendAgain?.() !== false;
  }

  /**
   * Sends the missing shards to the next leaf, or queries them here when there is none. Reports them
   * as failed when no attempts are left.
   */
  private tryNextLeaf(): void {
    if (this.attemptsLeft < 1) {
      this.listener.onFailed([...this.missing]);
      return;
    }
    const { pool, rootContext } = this.context;
    const link =
      this.triedLeaves.size < MAXIMUM_LEAVES_TRIED
        ? pool.choose(this.group, this.triedLeaves)
        : undefined;
    if (link === undefined || !this.sendToLeaf(link)) this.gatherLocally(rootContext, this.mayRun);
  }

  private gatherLocally(context: GatewayContext, isRepeat: boolean): void {
    if (this.localGather !== undefined) return;
    const { attemptsLeft } = this;
    const { totalShards } = this.options;
    const shards = [...this.missing];
    const route = { ...this.request.route, maximumAttempts: attemptsLeft };
    const request = { ...this.request, route };
    const maySendAgain = (): boolean => this.mayHedge();
    const options = { shards, totalShards, isRepeat: isRepeat || this.isRepeat, maySendAgain };
    this.localGather = new ShardGather(context, request, options, this);
    this.localGather.start();
  }

  private mayHedge(): boolean {
    const { maySendAgain } = this;
    this.isHedgePending ||= !maySendAgain;
    return maySendAgain;
  }

  private get isRepeat(): boolean {
    return this.options.isRepeat === true;
  }

  private sendToLeaf(link: LeafLink): boolean {
    const { name } = link.leaf;
    const sentAt = this.now();
    const attempt = beginLeafAttempt(name, sentAt);
    attempt.handle = link.gather(this.buildCall(sentAt), {
      onReport: (parts, report) => this.handleReport(attempt, parts, report),
      onDeclined: (reason) => this.endAttempt(attempt, `declined: ${reason}`),
      onLost: () => this.handleLoss(attempt, link),
    });
    if (attempt.handle === undefined) return false;
    this.triedLeaves.add(name);
    this.attempts.push(attempt);
    this.active.add(attempt);
    return true;
  }

  private buildCall(now: number): GatherCall {
    const { route, receivedAt, deadline } = this.request;
    const { answerMargin } = this.context.rootContext;
    const cutOffAt = receivedAt + answerMargin.cutOffDelay(targetLatencyOf(route));
    const reportBy = this.options.reportAt ?? cutOffAt;
    const { isRelayed } = this.group;
    const margin = isRelayed ? RELAY_REPORT_MARGIN_MS : REPORT_MARGIN_MS;
    return {
      kind: isRelayed ? 'relay' : 'gather',
      request: this.options.encodedRequest,
      shards: [...this.missing],
      topRecords: route.topRecords ?? 0,
      maximumAttempts: this.attemptsLeft,
      elapsedMs: now - receivedAt,
      leftMs: Math.max(1, deadline - now),
      reportInMs: Math.max(0, reportBy - now - margin),
      isRepeat: this.isRepeat || this.mayRun,
    };
  }

  private handleReport(attempt: LeafAttempt, parts: GatheredParts, report: PartsMessage): void {
    this.recordReport(attempt, report);
    // Merged parts of several shards cannot be separated: all must be new, or none is used.
    const isNew = parts.shards.every((shard) => this.missing.has(shard));
    if (isNew && parts.shards.length > 0) this.onParts(parts);
    if (report.wantsGrant) this.grantTo(attempt);
    if (!report.isLast) return;
    this.mayHaveRun ||= report.mayHaveRun;
    this.active.delete(attempt);
    attempt.endedAt = this.now();
    attempt.result = report.reason === '' ? 'reported' : `reported: ${report.reason}`;
    this.failMissingIfEnded();
  }

  private grantTo(attempt: LeafAttempt): void {
    attempt.wantsGrant = true;
    if (!this.maySendAgain) return;
    if (attempt.isGranted || this.isDone || attempt.isReplaced || this.attemptsLeft < 2) return;
    attempt.isGranted = true;
    attempt.handle?.grant();
  }

  private recordReport(attempt: LeafAttempt, report: PartsMessage): void {
    const { latencies, rootContext, leafContext } = this.context;
    const isRelay = this.options.reportAt !== undefined;
    const { shedding } = isRelay ? leafContext : rootContext;
    attempt.sends = report.sends;
    shedding.mergeAdmittedPart(this.request.route.shards?.[0] ?? '', report.admittedPart);
    if (attempt.hasReported) return;
    attempt.hasReported = true;
    latencies.recordReport(this.request.route, this.now() - attempt.sentAt);
  }

  /** Reports the missing shards as failed once the last leaf has ended. */
  private failMissingIfEnded(): void {
    if (this.isDone || this.active.size > 0 || this.localGather !== undefined) return;
    if (this.missing.size > 0) this.listener.onFailed([...this.missing]);
  }

  private handleLoss(attempt: LeafAttempt, link: LeafLink): void {
    this.mayHaveRun = true;
    this.context.pool.avoid(link.leaf);
    if (!attempt.isReplaced) this.deductAttempts(attempt);
    this.isNextLeafPending = this.attemptsLeft > 0 && !this.maySendAgain;
    this.endAttempt(attempt, 'lost');
  }

  /** Without a grant, a leaf sends one attempt per shard; with a grant, all that are left. */
  private deductAttempts({ isGranted }: LeafAttempt): void {
    this.attemptsLeft = isGranted ? 0 : this.attemptsLeft - 1;
  }

  private endAttempt(attempt: LeafAttempt, result: string): void {
    this.active.delete(attempt);
    attempt.endedAt = this.now();
    attempt.result = result;
    if (this.isDone || this.missing.size === 0 || this.active.size > 0) return;
    if (!this.isNextLeafPending) this.tryNextLeaf();
  }

  /**
   * Tries another leaf as well when one has not reported in time, as it may be frozen or
   * unreachable. When many leaves are late, they are short of processor time, and further requests
   * would make them later still. Neither leaf may then send a shard to a further replica, so that
   * each shard with a slow one is late: hence the budget, and a leaf that is heard of keeps the group.
   */
  private replaceSilentLeaf(): void {
    const { pool, rootContext, repeats } = this.context;
    const [silent] = [...this.active].filter(
      ({ hasReported, handle }) => !hasReported && handle?.hasHeardSince() !== true,
    );
    if (this.isDone || silent === undefined || this.attemptsLeft < 2) return;
    this.isReplacementPending = !this.maySendAgain;
    if (this.isReplacementPending) return;
    const leaf = this.group.leaves.find(({ name }) => name === silent.leaf);
    if (leaf !== undefined) pool.avoid(leaf);
    const link = pool.choose(this.group, this.triedLeaves);
    if (link === undefined || !repeats.take()) return;
    rootContext.metrics.gathersRepeated.inc();
    this.deductAttempts(silent);
    silent.isReplaced = true;
    this.sendToLeaf(link);
  }

  private now(): number {
    return this.context.rootContext.environment.clock.now();
  }
}
