/**
 * One gather at a leaf: queries the shards and reports their merged parts to the root. A report
 * is sent when all shards have ended, once when attempts are unusually late (which shows the root
 * that the leaf is alive), and when the root is about to answer; after that, parts are reported as
 * they arrive, those in quick succession together.
 */
import type { Timer } from '../seams/clock.js';
import type { CallerRequest } from '../gateway/caller-request.js';
import { STOPPING } from '../gateway/drain.js';
import type { GatewayContext } from '../gateway/gateway-context.js';
import { mergeRecords } from '../gateway/merge-records.js';
import type { GatheredParts, PartListener } from '../gateway/part-source.js';
import { ShardGather } from '../gateway/shard-gather.js';
import { targetLatencyOf } from '../gateway/route-latencies.js';
import { GatherStep, StepTimeline } from '../gateway/step-timeline.js';
import { TIME_UP, NO_ATTEMPT_REFUSAL_FRACTION } from '../gateway/forward-single.js';
import type { PartsMessage } from './aggregation-messages.js';
import type { GrantDelay } from './grant-delay.js';
import type { LeafAdmission } from './leaf-admission.js';
import type { LeafSource } from './leaf-source.js';
import { ReportSchedule } from './report-schedule.js';

/** A root's gather and the callbacks to report it. */
export interface LeafGatherOptions {
  readonly gatherId: number;
  readonly request: CallerRequest;
  readonly shards: readonly string[];
  readonly totalShards: number;
  readonly isRepeat: boolean;
  /** Time until the report that the root waits for. Milliseconds from now. */
  readonly reportInMs: number;
  /** How late the leaf read the gather; see `TransitDelay`. Milliseconds. */
  readonly delayMs: number;
  /** Name of the root gateway. */
  readonly root: string;
  /** Version of the root's route document. */
  readonly rootRouteVersion: number;
  /**
   * At a relay: creates the source that queries the shards through leaves; absent: they are queried
   * directly.
   */
  readonly relay?:
    ((listener: PartListener, maySendAgain: () => boolean) => LeafSource) | undefined;
  /** Told whether this gather was late. */
  readonly admission: LeafAdmission;
  /** Told how long the grant took. */
  readonly grantDelay: GrantDelay;
  readonly report: (message: PartsMessage) => void;
  readonly onEnd: () => void;
  /** Number of gathers in progress at this leaf, by which roots choose among leaves. */
  readonly gathersInProgress: () => number;
}

interface ReportOptions {
  readonly isLast: boolean;
  readonly wantsGrant: boolean;
  /** Why the gather ended; reported only when shards failed or are missing. */
  readonly reason: string;
}

/** Starts with {@link start}; ends by itself or by {@link cancel}, then calls `onEnd` once. */
export class LeafGather implements PartListener {
  private readonly gather: LeafSource;
  private readonly positions: ReadonlyMap<string, number>;
  private readonly timers: Timer[] = [];
  private readonly timeline: StepTimeline<GatherStep>;
  private unreported: GatheredParts[] = [];
  private answered = 0;
  private failed = 0;
  private readonly schedule: ReportSchedule;
  private isReportTimePast = false;
  /** When the last report was sent. Clock reading. */
  private lastReportAt = -Infinity;
  private lateReportTimer: Timer | undefined;
  /** When {@link lateReportTimer} is due. Clock reading. */
  private lateReportAt = Infinity;
  /** Until when the root waits for the report. Clock reading. */
  private rootWaitsUntil = Infinity;
  /** When half of the shards had answered; undefined before. Clock reading. */
  private halfAnsweredAt: number | undefined;
  private reports = 0;
  /** Reports without a part. */
  private emptyReports = 0;
  /** When the grant was requested; undefined before. Clock reading. */
  private grantRequestedAt: number | undefined;
  private isGranted = false;
  /** A further attempt was due before the grant arrived. */
  private isHedgePending = false;
  private isDone = false;

  constructor(
    private readonly context: GatewayContext,
    private readonly options: LeafGatherOptions,
  ) {
    const { request, shards } = options;
    this.positions = new Map(shards.map((shard, index) => [shard, index]));
    this.timeline = new StepTimeline(context.environment, request.receivedAt);
    this.timeline.record(GatherStep.Begun);
    this.schedule = this.createSchedule();
    const { totalShards, isRepeat, relay } = options;
    const maySendAgain = (): boolean => this.maySendAgain();
    const gatherOptions = { shards, totalShards, isRepeat, maySendAgain };
    this.gather =
      relay?.(this, maySendAgain) ?? new ShardGather(context, request, gatherOptions, this);
  }

  start(): void {
    const { clock } = this.context.environment;
    const { request } = this.options;
    const { route, deadline } = request;
    this.rootWaitsUntil = clock.now() + this.options.reportInMs;
    const { reportDelay, grantRequestDelay, isGrantRequestedWithReport } = this.schedule;
    if (!isGrantRequestedWithReport)
      this.timers.push(clock.setTimer(grantRequestDelay, () => this.requestGrant()));
    this.timers.push(
      clock.setTimer(reportDelay, () => this.reportOnTime()),
      clock.setTimer(targetLatencyOf(route) * NO_ATTEMPT_REFUSAL_FRACTION, () =>
        this.endIfUnoffered(),
      ),
      clock.setTimer(Math.max(0, deadline - clock.now()), () => this.end(TIME_UP)),
    );
    this.context.drain.onceEnded(this.onDrainEnd);
    this.gather.start();
    this.timeline.record(GatherStep.Sent);
  }

  private createSchedule(): ReportSchedule {
    const { request, shards, reportInMs, grantDelay } = this.options;
    const { route } = request;
    const { answerMargin, latencies } = this.context;
    const { hedgeDelay, median } = latencies.of(route);
    return new ReportSchedule({
      target: targetLatencyOf(route),
      hedgeDelay,
      grantDelay: grantDelay.typical,
      medianLatency: median,
      reportIn: reportInMs,
      typicalLag: answerMargin.typicalLag,
      shards: shards.length,
      requiredCoverage: route.requiredCoverage ?? 1,
    });
  }

  onParts(parts: GatheredParts): void {
    if (this.isDone) return;
    this.timeline.record(GatherStep.FirstPart);
    this.timeline.record(GatherStep.LastPart);
    this.unreported.push(parts);
    this.answered += parts.shards.length;
    if (!this.hasFewParts) this.halfAnsweredAt ??= this.context.environment.clock.now();
    this.reportProgress();
  }

  onFailed(shards: readonly string[]): void {
    if (this.isDone) return;
    this.failed += shards.length;
    this.reportProgress();
  }

  /** Ends the gather without a report. */
  cancel(reason: string): void {
    if (this.isDone) return;
    this.finish();
    this.endAttempts(reason);
  }

  /**
   * Handles the root's grant: the root has assigned the shards to no other leaf and will not do so,
   * so further attempts are permitted.
   */
  grant(): void {
    this.isGranted = true;
    const now = this.context.environment.clock.now();
    this.options.grantDelay.record(now - (this.grantRequestedAt ?? now));
    if (this.isHedgePending && !this.isDone) this.gather.hedge();
  }

  private maySendAgain(): boolean {
    if (this.isGranted) return true;
    this.isHedgePending = true;
    this.requestGrant();
    return false;
  }

  /** The report also shows the root that this leaf is alive. */
  private requestGrant(): void {
    if (this.grantRequestedAt !== undefined || this.isDone) return;
    this.grantRequestedAt = this.context.environment.clock.now();
    this.report({ wantsGrant: true });
  }

  private reportProgress(): void {
    if (this.answered + this.failed === this.options.shards.length) this.end('all have ended');
    else if (this.isReportTimePast) this.reportLateParts();
  }

  /** Reports at once after a pause, otherwise with the parts that arrive until the interval ends. */
  private reportLateParts(): void {
    const { clock } = this.context.environment;
    const dueAt = this.lastReportAt + this.schedule.lateReportInterval(this.answered);
    if (this.lateReportTimer !== undefined && dueAt >= this.lateReportAt) return;
    this.lateReportTimer?.cancel();
    const waitMs = dueAt - clock.now();
    if (waitMs <= 0) {
      this.sendLateReport();
      return;
    }
    this.lateReportAt = dueAt;
    this.lateReportTimer = clock.setTimer(waitMs, () => this.sendLateReport());
  }

  private sendLateReport(): void {
    this.lateReportTimer = undefined;
    if (this.isDone || this.unreported.length === 0) return;
    this.schedule.recordLateReport();
    this.report({});
  }

  private reportOnTime(): void {
    this.isReportTimePast = true;
    const mayRequestGrant = this.grantRequestedAt === undefined;
    if (this.schedule.isGrantRequestedWithReport && mayRequestGrant) this.requestGrant();
    else if (this.reports === 0) this.report({});
    else if (this.unreported.length > 0) this.reportLateParts();
  }

  private endIfUnoffered(): void {
    if (!this.gather.mayHaveSent) this.end('no replica has room');
  }

  private end(reason: string): void {
    if (this.isDone) return;
    this.finish();
    this.report({ isLast: true, reason });
    this.endAttempts(reason);
  }

  private report({
    isLast = false,
    wantsGrant = false,
    reason = '',
  }: Partial<ReportOptions>): void {
    const { gatherId, request, gathersInProgress } = this.options;
    const parts = this.unreported;
    this.reports += 1;
    if (parts.length === 0) this.emptyReports += 1;
    this.unreported = [];
    this.lastReportAt = this.context.environment.clock.now();
    this.timeline.record(GatherStep.FirstReport, this.lastReportAt);
    this.timeline.record(GatherStep.LastReport, this.lastReportAt);
    const { topRecords = 0 } = request.route;
    this.options.report({
      kind: 'parts',
      gatherId,
      shards: JSON.stringify(
        parts.flatMap(({ shards }) => shards.map((shard) => this.positionOf(shard))),
      ),
      signatures: JSON.stringify(parts.flatMap(({ signatures }) => signatures)),
      records: mergeRecords(
        parts.map(({ records }) => records),
        topRecords,
      ),
      isLast,
      wantsGrant,
      mayHaveRun: this.gather.mayRun,
      sends: this.gather.sends,
      reason: this.failed > 0 || this.isIncomplete ? reason : '',
      admittedPart: this.admittedPart,
      gathersInProgress: gathersInProgress(),
    });
  }

  private get admittedPart(): number {
    const { shards, admission, relay } = this.options;
    const { shedding } = this.context;
    const [firstShard = ''] = shards;
    // A relay passes on what its leaves reported; what a gateway heard as a root is never passed on.
    const part =
      relay === undefined ? shedding.replicaPart(firstShard) : shedding.admittedPart(firstShard);
    return Math.min(part, admission.admittedPart);
  }

  private get hasFewParts(): boolean {
    return this.answered < this.options.shards.length / 2;
  }

  private get isIncomplete(): boolean {
    return this.answered + this.failed < this.options.shards.length;
  }

  private positionOf(shard: string): number {
    return this.positions.get(shard) ?? 0;
  }

  /** Judged by when the root waits for the report, not by when a lagging leaf sends it to be in time. */
  private recordLateness(): void {
    const halfAt = this.halfAnsweredAt ?? this.context.environment.clock.now();
    this.options.admission.recordGather(halfAt > this.rootWaitsUntil);
  }

  private readonly onDrainEnd = (): void => this.end(STOPPING);

  private finish(): void {
    this.isDone = true;
    this.context.drain.cancelOnceEnded(this.onDrainEnd);
    for (const timer of this.timers) timer.cancel();
    this.lateReportTimer?.cancel();
    this.recordLateness();
    this.options.onEnd();
  }

  private endAttempts(reason: string): void {
    const { shards, request, root, rootRouteVersion, delayMs } = this.options;
    const missing = shards.length - this.answered;
    const { sends } = this.gather;
    this.gather.cancel(reason);
    this.context.decisions.logGather(request, this.gather, {
      root,
      rootRouteVersion,
      shards: shards.length,
      missing,
      sends,
      reports: this.reports,
      emptyReports: this.emptyReports,
      reason,
      delayMs: Math.round(delayMs),
      timerLagMs: Math.round(this.context.answerMargin.lag),
      admittedPart: this.admittedPart,
      timeline: this.timeline,
    });
  }
}
