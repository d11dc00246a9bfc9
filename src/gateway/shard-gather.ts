/** Sends a request to one replica of each given shard, and to further ones if it is late or fails. */
import type { LogFields } from '../observability/logger.js';
import type { Timer } from '../seams/clock.js';
import { attemptFields } from './attempt-record.js';
import type { CallerRequest } from './caller-request.js';
import type { GatewayContext } from './gateway-context.js';
import { mergeRecords, RECORD_BYTES } from './merge-records.js';
import type { PartListener, PartSource } from './part-source.js';
import { ReplicaRace, type ReplicaRaceOptions } from './replica-race.js';
import { targetLatencyOf } from './route-latencies.js';

/** Delay of the second hedge after the first, as a fraction of the target latency. */
const SECOND_HEDGE_FRACTION = 0.15;
/**
 * Shards whose replicas could not accept the request are retried within this fraction of the target
 * latency.
 */
const RETRY_FRACTION = 0.6;
/**
 * The worth of a merged response is the square of the fraction of shards that it holds, so losing
 * one shard costs about twice that shard's fraction.
 */
const COVERAGE_EXPONENT = 2;
/**
 * A longer part is cut to its greatest records as soon as it is here. Shorter ones are kept as they are, as
 * merging all parts at once is cheaper. Bytes.
 */
export const MAXIMUM_KEPT_PART_BYTES = 1_024 * RECORD_BYTES;

/** The shards to ask and how their attempts count. */
export interface ShardGatherOptions {
  readonly shards: readonly string[];
  /** Number of shards of the whole request; more than `shards` where other gateways ask the rest. */
  readonly totalShards: number;
  /**
   * Another gateway may have sent the request to these shards: every attempt counts against the
   * budget of second sends.
   */
  readonly isRepeat: boolean;
  /** Passed to the race of each shard. */
  readonly maySendAgain?: ReplicaRaceOptions['maySendAgain'];
}

/** Runs one {@link ReplicaRace} per shard and reports each part as it arrives. */
export class ShardGather implements PartSource {
  private readonly races: ReplicaRace[] = [];
  private readonly timers: Timer[] = [];
  private isCancelled = false;

  constructor(
    private readonly context: GatewayContext,
    private readonly request: CallerRequest,
    private readonly options: ShardGatherOptions,
    private readonly listener: PartListener,
  ) {}

  start(): void {
    this.startTimers();
    this.startRaces();
  }

  cancel(reason: string): void {
    this.isCancelled = true;
    for (const timer of this.timers) timer.cancel();
    for (const race of this.races) race.cancel(reason);
  }

  get sends(): number {
    return this.races.reduce((sum, race) => sum + race.sends, 0);
  }

  get shardsQueriedHere(): number {
    return this.options.shards.length;
  }

  get mayHaveSent(): boolean {
    return this.races.some((race) => race.sends > 0);
  }

  get mayRun(): boolean {
    return this.races.some((race) => race.mayRun || race.outcome?.kind === 'answered');
  }

  missingAttempts(receivedAt: number): readonly LogFields[] {
    return this.races
      .filter(({ outcome }) => outcome?.kind !== 'answered')
      .flatMap(({ service, attempts, hedgeRefusal }) =>
        attempts.map((attempt) => ({
          service,
          ...attemptFields(attempt, receivedAt),
          ...(hedgeRefusal === undefined ? {} : { hedgeRefusal }),
        })),
      );
  }

  private startTimers(): void {
    const { clock } = this.context.environment;
    const { route } = this.request;
    const { hedgeDelay } = this.context.latencies.of(route);
    this.timers.push(clock.setTimer(hedgeDelay, () => this.hedge()));
    if (!this.context.mechanisms.secondHedge) return;
    // Covers shards for which the first hedge found no replica with room or no budget.
    const secondHedgeDelay = hedgeDelay + targetLatencyOf(route) * SECOND_HEDGE_FRACTION;
    this.timers.push(clock.setTimer(secondHedgeDelay, () => this.hedge()));
  }

  private startRaces(): void {
    const { shards, totalShards, isRepeat, maySendAgain } = this.options;
    const { receivedAt, route } = this.request;
    const latency = this.context.latencies.of(route);
    const retryDeadline = receivedAt + targetLatencyOf(route) * RETRY_FRACTION;
    const valueFraction = Math.min(1, COVERAGE_EXPONENT / totalShards);
    for (const service of shards) {
      this.races.push(
        new ReplicaRace(this.context, this.request, {
          service,
          latency,
          valueFraction,
          isRepeat,
          retryDeadline,
          maySendAgain,
          shortenBody: (body) => this.shortenPart(body),
          onEnd: (race) => this.onRaceEnd(race),
        }),
      );
    }
    for (const race of this.races) {
      if (this.isCancelled) return;
      race.start();
    }
  }

  /** Sends to a second replica of each shard that has not answered yet. */
  hedge(): void {
    for (const race of this.races) {
      if (race.hedge()) this.context.metrics.hedges.inc();
      else if (race.hedgeRefusal !== undefined)
        this.context.metrics.hedgesRefused.inc({ reason: race.hedgeRefusal });
    }
  }

  private shortenPart(body: Uint8Array): Uint8Array {
    if (body.length <= MAXIMUM_KEPT_PART_BYTES) return body;
    return mergeRecords([body], this.request.route.topRecords ?? 0);
  }

  private onRaceEnd({ service, outcome }: ReplicaRace): void {
    if (this.isCancelled || outcome === undefined) return;
    if (outcome.kind === 'failed') {
      this.listener.onFailed([service]);
      return;
    }
    const { headers, body } = outcome.answer;
    const signature = headers[this.context.headers.signature] ?? '';
    this.listener.onParts({ shards: [service], signatures: [signature], records: body });
  }
}
