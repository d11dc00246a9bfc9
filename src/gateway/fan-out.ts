/**
 * Sends a request to every shard of a route and merges the parts. All shards come
 * from the one route table version that the request is pinned to.
 */
import type { HttpResponse } from '../seams/http.js';
import type { Timer } from '../seams/clock.js';
import { afterResponse } from './after-response.js';
import { priorityOf, type CallerRequest } from './caller-request.js';
import { STOPPING } from './drain.js';
import { CALLER_GONE, TIME_UP, NO_ATTEMPT_REFUSAL_FRACTION } from './forward-single.js';
import { GatewayRefusal, QUARANTINED, refuse, refuseNotRun } from './gateway-answers.js';
import type { GatewayContext } from './gateway-context.js';
import { mergeRecords } from './merge-records.js';
import type { GatheredParts, PartListener, PartSource } from './part-source.js';
import { FanOutStep, StepTimeline } from './step-timeline.js';
import { targetLatencyOf } from './route-latencies.js';

/** Absorbs the binary rounding error of fractions such as 0.89. */
const ROUNDING_TOLERANCE = 1e-9;
const SUCCESS_STATUS = 200;
const MILLISECONDS_PER_SECOND = 1_000;

/** Assigns the shards of a request to sources, each of which reports to `listener`. */
export type PlanSources = (
  request: CallerRequest,
  shards: readonly string[],
  listener: PartListener,
) => readonly PartSource[];

/** For a request that a replica may have run: replaces `NotRun`, which would be untrue, by `Failed`. */
function refusalAfterPossibleRun(refusal: GatewayRefusal): GatewayRefusal {
  return refusal === GatewayRefusal.NotRun ? GatewayRefusal.Failed : refusal;
}

/** One fan-out in progress; each instance serves one request. */
export class FanOut implements PartListener {
  private sources: readonly PartSource[] = [];
  private readonly parts: GatheredParts[] = [];
  private readonly answeredShards = new Set<string>();
  private readonly failedShards = new Set<string>();
  private readonly timers: Timer[] = [];
  private readonly timeline: StepTimeline<FanOutStep>;
  private isPastCutOff = false;
  private isDone = false;
  private resolve!: (response: HttpResponse) => void;
  private readonly onCallerGone = (): void => this.giveUp(GatewayRefusal.Failed, CALLER_GONE);
  private readonly onDrainEnd = (): void => this.answerOrGiveUp(GatewayRefusal.Failed, STOPPING);

  constructor(
    private readonly context: GatewayContext,
    private readonly request: CallerRequest,
    private readonly shards: readonly string[],
    private readonly planSources: PlanSources,
  ) {
    this.timeline = new StepTimeline(context.environment, request.receivedAt);
  }

  /** Resolves with the final response, at the request's deadline at the latest. Call it once. */
  run(): Promise<HttpResponse> {
    return new Promise((resolve) => {
      this.resolve = resolve;
      if (this.reachableShards < this.requiredShards) {
        this.giveUp(GatewayRefusal.NotRun, 'too few shards have a replica');
        return;
      }
      if (!this.isAdmitted) {
        this.giveUp(GatewayRefusal.NotRun, 'the replicas or leaf gateways are overloaded');
        return;
      }
      this.request.signal.addEventListener('abort', this.onCallerGone, { once: true });
      this.context.drain.onceEnded(this.onDrainEnd);
      this.startTimers();
      this.startSources();
    });
  }

  onParts(parts: GatheredParts): void {
    if (this.isDone) return;
    this.parts.push(parts);
    this.timeline.record(FanOutStep.FirstPart);
    for (const shard of parts.shards) this.answeredShards.add(shard);
    if (this.isCovered) this.timeline.record(FanOutStep.Covered);
    this.finishIfDecided();
  }

  onFailed(shards: readonly string[]): void {
    if (this.isDone) return;
    for (const shard of shards) this.failedShards.add(shard);
    this.finishIfDecided();
  }

  private get isAdmitted(): boolean {
    const { mechanisms, shedding } = this.context;
    return !mechanisms.shedding || shedding.admits(this.shards[0] ?? '', priorityOf(this.request));
  }

  /** Number of shards whose parts a merged response must hold. */
  private get requiredShards(): number {
    const coverage = this.request.route.requiredCoverage ?? 1;
    return Math.max(1, Math.ceil(coverage * this.shards.length - ROUNDING_TOLERANCE));
  }

  /** Whether enough shards have answered for a response with sufficient coverage. */
  private get isCovered(): boolean {
    return this.answeredShards.size >= this.requiredShards;
  }

  /** Number of shards with at least one known replica that the route permits. */
  private get reachableShards(): number {
    const { regions, targets } = this.context;
    const { route } = this.request;
    return this.shards.filter((shard) => regions.permitted(route, targets.of(shard)).length > 0)
      .length;
  }

  private startTimers(): void {
    const { environment, mechanisms, answerMargin } = this.context;
    const { clock } = environment;
    const { receivedAt, deadline, route } = this.request;
    const target = targetLatencyOf(route);
    if (mechanisms.cutOff) {
      const cutOffAt = Math.max(clock.now(), receivedAt + answerMargin.cutOffDelay(target));
      this.timers.push(clock.setTimer(cutOffAt - clock.now(), () => this.cutOff(cutOffAt)));
    }
    this.timers.push(
      clock.setTimer(target * NO_ATTEMPT_REFUSAL_FRACTION, () => this.refuseIfNotAttempted()),
      clock.setTimer(deadline - clock.now(), () =>
        this.answerOrGiveUp(GatewayRefusal.TimedOut, TIME_UP),
      ),
    );
  }

  private startSources(): void {
    this.sources = this.planSources(this.request, this.shards, this);
    for (const source of this.sources) {
      if (this.isDone) return;
      source.start();
    }
    this.timeline.record(FanOutStep.Sent);
  }

  /**
   * From the cut-off on, a response with enough shards is returned at once: it is worth more than
   * waiting for the rest.
   */
  private cutOff(dueAt: number): void {
    this.timeline.record(FanOutStep.CutOffDue, dueAt);
    this.timeline.record(FanOutStep.CutOff);
    this.isPastCutOff = true;
    this.finishIfDecided();
  }

  private refuseIfNotAttempted(): void {
    const mayHaveSent = this.sources.some((source) => source.mayHaveSent);
    if (!mayHaveSent) this.giveUp(GatewayRefusal.NotRun, 'no replica has room');
  }

  private answerOrGiveUp(refusal: GatewayRefusal, reason: string): void {
    if (this.isCovered) this.answer();
    else this.giveUp(refusal, reason);
  }

  private finishIfDecided(): void {
    if (this.isDone) return;
    const total = this.shards.length;
    const isComplete = this.answeredShards.size + this.failedShards.size === total;
    if (this.isCovered && (isComplete || this.isPastCutOff)) this.answer();
    else if (total - this.failedShards.size < this.requiredShards) {
      this.giveUp(GatewayRefusal.Failed, 'too many shards failed');
    }
  }

  private answer(): void {
    const { partSignatures, missingParts, requestId } = this.context.headers;
    const signatures = this.parts.flatMap((part) => part.signatures);
    const { topRecords = 0 } = this.request.route;
    const body = mergeRecords(
      this.parts.map(({ records }) => records),
      topRecords,
    );
    const headers = {
      'content-type': 'application/octet-stream',
      [requestId]: this.request.id,
      [partSignatures]: signatures.join(', '),
      [missingParts]: String(this.shards.length - this.answeredShards.size),
    };
    this.finish();
    const onWritten = (): void => this.timeline.record(FanOutStep.Written);
    this.resolve({ status: SUCCESS_STATUS, headers, body, onWritten });
    this.timeline.record(FanOutStep.Answered);
    this.observeLateness();
    afterResponse(this.context.environment.clock, () =>
      this.endSources(SUCCESS_STATUS, 'enough parts are in'),
    );
  }

  private observeLateness(): void {
    const { environment, metrics } = this.context;
    const { receivedAt, route } = this.request;
    const lateMs = environment.clock.now() - receivedAt - targetLatencyOf(route);
    if (lateMs > 0) metrics.lateness.observe(lateMs / MILLISECONDS_PER_SECOND);
  }

  private giveUp(refusal: GatewayRefusal, reason: string): void {
    if (this.isDone) return;
    const mayRun = this.answeredShards.size > 0 || this.sources.some((source) => source.mayRun);
    const { crashGuard } = this.context;
    const isQuarantined = crashGuard.isQuarantined(this.request.fingerprint);
    const cause = isQuarantined ? QUARANTINED : reason;
    const response = mayRun ? refuse(refusalAfterPossibleRun(refusal), cause) : refuseNotRun(cause);
    this.finish();
    // Before the response, which may say that nothing was run: nothing may be sent after it.
    this.endSources(response.status, cause);
    this.resolve(response);
  }

  private finish(): void {
    this.isDone = true;
    for (const timer of this.timers) timer.cancel();
    this.request.signal.removeEventListener('abort', this.onCallerGone);
    this.context.drain.cancelOnceEnded(this.onDrainEnd);
  }

  private endSources(status: number, reason: string): void {
    for (const source of this.sources) source.cancel(reason);
    this.context.decisions.logFanOut(this.request, {
      status,
      reason,
      shards: this.shards.length,
      missing: this.shards.length - this.answeredShards.size,
      sends: this.sources.reduce((sum, source) => sum + source.sends, 0),
      queriedByRoot: this.sources.reduce((sum, source) => sum + source.shardsQueriedHere, 0),
      timerLagMs: Math.round(this.context.answerMargin.lag),
      admittedPart: this.context.shedding.admittedPart(this.shards[0] ?? ''),
      timeline: this.timeline,
      sources: this.sources,
    });
  }
}
