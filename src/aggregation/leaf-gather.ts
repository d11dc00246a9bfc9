/**
 * One gather at a leaf: asks the shards and reports their parts to the root,
 * merged. It reports when all have ended; also once when attempts are unusually
 * late, so that the root sees that the leaf lives, and when the root has to
 * answer with what it has; from then on each part as it comes.
 */
import type { Timer } from '../seams/clock.js';
import { TIME_UP } from '../gateway/forward-single.js';
import type { CallerRequest } from '../gateway/caller-request.js';
import type { GatewayContext } from '../gateway/gateway-context.js';
import { mergeRecords } from '../gateway/merge-records.js';
import type { GatheredParts, PartListener } from '../gateway/part-source.js';
import { ShardGather } from '../gateway/shard-gather.js';
import { targetLatencyOf } from '../gateway/route-latencies.js';
import { UNOFFERED_PART } from '../gateway/forward-single.js';
import type { PartsMessage } from './aggregation-messages.js';

/** The first report leaves at the latest after this part of the lease. */
const FIRST_REPORT_PART = 0.85;

/** What a leaf was asked to do. */
export interface LeafGatherOptions {
  readonly gatherId: number;
  readonly request: CallerRequest;
  readonly shards: readonly string[];
  readonly totalShards: number;
  readonly isRepeat: boolean;
  /** Milliseconds from now. */
  readonly reportInMs: number;
  /** See `GatherMessage.leaseMs`. Milliseconds from now. */
  readonly leaseMs: number;
  /** Name of the gateway that asks. */
  readonly root: string;
  readonly report: (message: PartsMessage) => void;
  readonly onEnd: () => void;
  /** Gathers in progress at this leaf, for the root's choice. */
  readonly gathersInProgress: () => number;
}

/** See the module comment. */
export class LeafGather implements PartListener {
  private readonly gather: ShardGather;
  private readonly positions: ReadonlyMap<string, number>;
  private readonly timers: Timer[] = [];
  private unreported: GatheredParts[] = [];
  private answered = 0;
  private failed = 0;
  private isPastReport = false;
  private startedAt = 0;
  /** The root knows that this leaf lives, and asks no other. */
  private holdsLease = false;
  private isDone = false;

  constructor(
    private readonly context: GatewayContext,
    private readonly options: LeafGatherOptions,
  ) {
    const { request, shards } = options;
    this.positions = new Map(shards.map((shard, index) => [shard, index]));
    const { totalShards, isRepeat } = options;
    const maySendAgain = (): boolean => this.takeLease();
    const gatherOptions = { shards, totalShards, isRepeat, maySendAgain };
    this.gather = new ShardGather(context, request, gatherOptions, this);
  }

  start(): void {
    const { clock } = this.context.environment;
    const { request, reportInMs, leaseMs } = this.options;
    this.startedAt = clock.now();
    const { route, deadline } = request;
    const { hedgeDelay } = this.context.latencies.of(route);
    this.timers.push(
      clock.setTimer(Math.min(hedgeDelay, leaseMs * FIRST_REPORT_PART), () => this.takeLease()),
      clock.setTimer(Math.max(0, reportInMs), () => this.passReport()),
      clock.setTimer(targetLatencyOf(route) * UNOFFERED_PART, () => this.endUnoffered()),
      clock.setTimer(Math.max(0, deadline - clock.now()), () => this.end(TIME_UP)),
    );
    this.gather.start();
  }

  onParts(parts: GatheredParts): void {
    if (this.isDone) return;
    this.unreported.push(parts);
    this.answered += parts.shards.length;
    this.goOn();
  }

  onFailed(shards: readonly string[]): void {
    if (this.isDone) return;
    this.failed += shards.length;
    this.goOn();
  }

  /** The root does not want the rest. */
  cancel(reason: string): void {
    if (this.isDone) return;
    this.finish(reason);
  }

  /** Reports for the first time, when that is still in time; whether second sendings are allowed. */
  private takeLease(): boolean {
    if (this.holdsLease || this.isDone) return this.holdsLease;
    const elapsed = this.context.environment.clock.now() - this.startedAt;
    if (elapsed > this.options.leaseMs) return false;
    this.holdsLease = true;
    this.report(false);
    return true;
  }

  private goOn(): void {
    if (this.answered + this.failed === this.options.shards.length) this.end('all have ended');
    else if (this.isPastReport) this.report(false);
  }

  private passReport(): void {
    this.isPastReport = true;
    this.report(false);
  }

  private endUnoffered(): void {
    if (!this.gather.isOffered) this.end('no replica has room');
  }

  private end(reason: string): void {
    if (this.isDone) return;
    this.finish(reason);
    this.report(true, reason);
  }

  private report(isLast: boolean, reason = ''): void {
    const { gatherId, request, gathersInProgress } = this.options;
    const parts = this.unreported;
    this.unreported = [];
    const { topRecords = 0 } = request.route;
    this.options.report({
      kind: 'parts',
      gatherId,
      shards: JSON.stringify(
        parts.flatMap(({ shards }) => shards.map((shard) => this.place(shard))),
      ),
      signatures: JSON.stringify(parts.flatMap(({ signatures }) => signatures)),
      records: mergeRecords(
        parts.map(({ records }) => records),
        topRecords,
      ),
      isLast,
      mayHaveRun: this.gather.mayRun,
      sends: this.gather.sends,
      reason: this.failed > 0 || this.isCutShort ? reason : '',
      admittedPart: this.context.shedding.admittedPart(this.options.shards[0] ?? ''),
      gathersInProgress: gathersInProgress(),
    });
  }

  private get isCutShort(): boolean {
    return this.answered + this.failed < this.options.shards.length;
  }

  private place(shard: string): number {
    return this.positions.get(shard) ?? 0;
  }

  private finish(reason: string): void {
    this.isDone = true;
    for (const timer of this.timers) timer.cancel();
    const { shards, request, root } = this.options;
    const missing = shards.length - this.answered;
    const { sends } = this.gather;
    this.gather.cancel(reason);
    if (missing > 0 || sends > shards.length) {
      const summary = { root, shards: shards.length, missing, sends, reason };
      this.context.decisions.gathered(request, this.gather, summary);
    }
    this.options.onEnd();
  }
}
