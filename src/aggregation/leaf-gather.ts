/**
 * One gather at a leaf: asks the shards and reports their parts to the root,
 * merged. It reports when all have ended; also once when attempts are unusually
 * late, so that the root sees that the leaf lives, and when the root has to
 * answer with what it has; from then on each part as it comes.
 */
import type { Timer } from '../seams/clock.js';
import type { CallerRequest } from '../gateway/caller-request.js';
import type { GatewayContext } from '../gateway/gateway-context.js';
import { mergeRecords } from '../gateway/merge-records.js';
import type { GatheredParts, PartListener } from '../gateway/part-source.js';
import { ShardGather } from '../gateway/shard-gather.js';
import { targetLatencyOf } from '../gateway/route-latencies.js';
import { TIME_UP, NO_ATTEMPT_REFUSAL_FRACTION } from '../gateway/forward-single.js';
import type { PartsMessage } from './aggregation-messages.js';
import type { LeafSource } from './leaf-source.js';

/** The grant is asked for at this part of the hedge delay, to be there when it is needed. */
const GRANT_REQUEST_FRACTION = 0.7;

/** What a leaf was asked to do. */
export interface LeafGatherOptions {
  readonly gatherId: number;
  readonly request: CallerRequest;
  readonly shards: readonly string[];
  readonly totalShards: number;
  readonly isRepeat: boolean;
  /** Milliseconds from now. */
  readonly reportInMs: number;
  /** Name of the gateway that asks. */
  readonly root: string;
  /** Version of the route document that it works by. */
  readonly rootRouteVersion: number;
  /** At a relay: makes what has the shards asked by leaves; absent: they are asked from here. */
  readonly relay?:
    ((listener: PartListener, maySendAgain: () => boolean) => LeafSource) | undefined;
  readonly report: (message: PartsMessage) => void;
  readonly onEnd: () => void;
  /** Gathers in progress at this leaf, for the root's choice. */
  readonly gathersInProgress: () => number;
}

interface ReportOptions {
  readonly isLast: boolean;
  readonly wantsGrant: boolean;
  /** Why the gather ends. */
  readonly reason: string;
}

/** See the module comment. */
export class LeafGather implements PartListener {
  private readonly gather: LeafSource;
  private readonly positions: ReadonlyMap<string, number>;
  private readonly timers: Timer[] = [];
  private unreported: GatheredParts[] = [];
  private answered = 0;
  private failed = 0;
  private isReportTimePast = false;
  private hasRequestedGrant = false;
  private isGranted = false;
  /** A second sending was due before the grant came. */
  private isHedgePending = false;
  private isDone = false;

  constructor(
    private readonly context: GatewayContext,
    private readonly options: LeafGatherOptions,
  ) {
    const { request, shards } = options;
    this.positions = new Map(shards.map((shard, index) => [shard, index]));
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
    const { hedgeDelay } = this.context.latencies.of(route);
    this.timers.push(
      clock.setTimer(hedgeDelay * GRANT_REQUEST_FRACTION, () => this.requestGrant()),
      this.startReportTimer(),
      clock.setTimer(targetLatencyOf(route) * NO_ATTEMPT_REFUSAL_FRACTION, () =>
        this.endIfUnoffered(),
      ),
      clock.setTimer(Math.max(0, deadline - clock.now()), () => this.end(TIME_UP)),
    );
    this.gather.start();
  }

  /** Reports by the time that the root wants it, earlier where timers run late here. */
  private startReportTimer(): Timer {
    const { environment, answerMargin } = this.context;
    const { clock } = environment;
    const delayMs = Math.max(0, this.options.reportInMs - answerMargin.lag);
    const dueAt = clock.now() + delayMs;
    return clock.setTimer(delayMs, () => {
      answerMargin.recordTimerLag(clock.now() - dueAt);
      this.reportOnTime();
    });
  }

  onParts(parts: GatheredParts): void {
    if (this.isDone) return;
    this.unreported.push(parts);
    this.answered += parts.shards.length;
    this.reportProgress();
  }

  onFailed(shards: readonly string[]): void {
    if (this.isDone) return;
    this.failed += shards.length;
    this.reportProgress();
  }

  /** The root does not want the rest. */
  cancel(reason: string): void {
    if (this.isDone) return;
    this.finish(reason);
  }

  /** The root has given the shards to no other leaf, and will not. */
  grant(): void {
    this.isGranted = true;
    if (this.isHedgePending && !this.isDone) this.gather.hedge();
  }

  private maySendAgain(): boolean {
    if (this.isGranted) return true;
    this.isHedgePending = true;
    this.requestGrant();
    return false;
  }

  /** Also shows the root that this leaf lives. */
  private requestGrant(): void {
    if (this.hasRequestedGrant || this.isDone) return;
    this.hasRequestedGrant = true;
    this.report({ wantsGrant: true });
  }

  private reportProgress(): void {
    if (this.answered + this.failed === this.options.shards.length) this.end('all have ended');
    else if (this.isReportTimePast) this.report({});
  }

  private reportOnTime(): void {
    this.isReportTimePast = true;
    this.report({});
  }

  private endIfUnoffered(): void {
    if (!this.gather.mayHaveSent) this.end('no replica has room');
  }

  private end(reason: string): void {
    if (this.isDone) return;
    this.finish(reason);
    this.report({ isLast: true, reason });
  }

  private report({
    isLast = false,
    wantsGrant = false,
    reason = '',
  }: Partial<ReportOptions>): void {
    const { gatherId, request, gathersInProgress } = this.options;
    const parts = this.unreported;
    this.unreported = [];
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
      admittedPart: this.context.shedding.admittedPart(this.options.shards[0] ?? ''),
      gathersInProgress: gathersInProgress(),
    });
  }

  private get isIncomplete(): boolean {
    return this.answered + this.failed < this.options.shards.length;
  }

  private positionOf(shard: string): number {
    return this.positions.get(shard) ?? 0;
  }

  private finish(reason: string): void {
    this.isDone = true;
    for (const timer of this.timers) timer.cancel();
    const { shards, request, root, rootRouteVersion } = this.options;
    const missing = shards.length - this.answered;
    const { sends } = this.gather;
    this.gather.cancel(reason);
    if (missing > 0 || sends > shards.length) {
      const summary = { root, rootRouteVersion, shards: shards.length, missing, sends, reason };
      this.context.decisions.logGather(request, this.gather, summary);
    }
    this.options.onEnd();
  }
}
