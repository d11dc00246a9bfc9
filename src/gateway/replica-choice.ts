/**
 * Chooses the replica of a service that gets a request: the one with the lowest sum of lateness
 * cost and cross-zone traffic cost, estimated from this gateway's observations and the replica's
 * load reports.
 */
import type { GatewayMechanisms } from '../configuration/gateway-mechanisms.js';
import type { Clock } from '../seams/clock.js';
import type { RandomSource } from '../seams/random-source.js';
import type { ReplicaTarget } from './replica-target.js';

/** Age up to which a load report is used. */
const LOAD_VALID_MS = 400;
/** Half-life of a reported work factor, which changes several times a second. */
const WORK_HALF_LIFE_MS = 200;
/**
 * Upper bound of the cross-zone cost, as a fraction of the value lost if the answer is late. With
 * it, a replica in another zone is preferred over one in the same zone that is expected to take more
 * than half of the time left.
 */
const MAXIMUM_ZONE_COST_FRACTION = 0.3;
/** Factor by which a cold replica is expected to be slower. */
const WARMUP_FACTOR = 1.6;
/** Random spread, so that gateways with the same information don't all choose the same replica. */
const JITTER_FACTOR = 0.1;
/** An attempt in flight for longer than this many median latencies indicates a stalled replica. */
const STALL_RATIO = 3;
const STALL_FACTOR = 4;

/** Zone of the gateway and cost of traffic to other zones. */
export interface PlacementOptions {
  readonly zone: string;
  /** Cost of one attempt to another zone, as a fraction of the value of one timely answer. */
  readonly otherZoneCost: number;
}

/** Inputs of one choice. Durations are milliseconds. */
export interface ChoiceQuery {
  readonly targets: readonly ReplicaTarget[];
  /** Replicas that must not be chosen. */
  readonly excluded: ReadonlySet<ReplicaTarget>;
  /** Median latency of an attempt. */
  readonly medianLatency: number;
  /** Time left in which an answer is of full use; above 0. */
  readonly timeLeft: number;
  /** Fraction of the request's value that is lost if this answer is late; at most 1. */
  readonly valueFraction: number;
  /** Maximum number of attempts in flight from this gateway to one replica. */
  readonly maximumInFlight: number;
  /** Interval for `ColdSendLimiter`; Infinity if cold replicas are not limited. */
  readonly coldSendInterval: number;
}

/** Reported work factor of the replica, decaying towards 1 with the age of the report. */
function decayedWorkFactor({ load }: ReplicaTarget, now: number): number {
  if (load === undefined) return 1;
  const weight = 0.5 ** ((now - load.at) / WORK_HALF_LIFE_MS);
  return 1 + (load.workFactor - 1) * weight;
}

/** Chooses replicas for one gateway. */
export class ReplicaChoice {
  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly placement: PlacementOptions,
    private readonly mechanisms: GatewayMechanisms,
  ) {}

  /**
   * Returns the replica with the lowest cost. Replicas that are backing off or have refused a
   * request as full are chosen only if there is no other. Undefined if every replica is excluded,
   * replaced, at its in-flight limit or limited while cold.
   */
  choose(query: ChoiceQuery): ReplicaTarget | undefined {
    const now = this.clock.now();
    let best: ReplicaTarget | undefined;
    let bestCost = Infinity;
    let lastResort: ReplicaTarget | undefined;
    for (const target of query.targets) {
      if (query.excluded.has(target) || target.isReplaced(now)) continue;
      if (target.inFlight >= query.maximumInFlight) continue;
      if (this.isColdLimited(target, query, now)) continue;
      const isBackingOff = this.mechanisms.resting && target.isBackingOff(now);
      if (isBackingOff || now < target.fullUntil) {
        lastResort ??= target;
        continue;
      }
      const cost = this.cost(target, query, now);
      if (cost < bestCost) [best, bestCost] = [target, cost];
    }
    return best ?? lastResort;
  }

  private isColdLimited(
    { coldUntil, coldSendLimiter }: ReplicaTarget,
    { coldSendInterval }: ChoiceQuery,
    now: number,
  ): boolean {
    const isBounded = now < coldUntil && Number.isFinite(coldSendInterval);
    return isBounded && !coldSendLimiter.allows(now, coldSendInterval);
  }

  /** Cost of choosing `target`, as a fraction of the value of one timely answer. */
  private cost(target: ReplicaTarget, query: ChoiceQuery, now: number): number {
    const isSameZone = target.entry.zone === this.placement.zone;
    const zoneCost = isSameZone ? 0 : this.zoneCost(query);
    const jitter = 1 + JITTER_FACTOR * this.random.nextFloat();
    return this.latenessCost(target, query, now) * jitter + zoneCost;
  }

  /**
   * Bounded by the request's value that is lost if the answer is late: one late shard of many loses
   * little, but still more than the traffic costs.
   */
  private zoneCost({ valueFraction }: ChoiceQuery): number {
    return Math.min(this.placement.otherZoneCost, valueFraction * MAXIMUM_ZONE_COST_FRACTION);
  }

  /**
   * Grows with the square of the expected latency: additional time matters little while there is
   * plenty left, and ever more as the expected latency approaches the time left.
   */
  private latenessCost(target: ReplicaTarget, query: ChoiceQuery, now: number): number {
    const { medianLatency, timeLeft, valueFraction } = query;
    const expectedTime = medianLatency * this.latencyFactor(target, medianLatency, now);
    return valueFraction * (expectedTime / timeLeft) ** 2;
  }

  /** Expected latency as a multiple of the median latency. */
  private latencyFactor(target: ReplicaTarget, medianLatency: number, now: number): number {
    let factor = this.queueFactor(target, now);
    if (this.mechanisms.workReports) factor *= decayedWorkFactor(target, now);
    if (this.mechanisms.slowness) factor *= target.slownessAt(now);
    if (now < target.coldUntil) factor *= WARMUP_FACTOR;
    const isStalled = target.oldestWait(now) > STALL_RATIO * medianLatency;
    if (this.mechanisms.stalls && isStalled) factor *= STALL_FACTOR;
    return factor;
  }

  /** Factor by which requests ahead at the replica delay a new one. */
  private queueFactor(target: ReplicaTarget, now: number): number {
    const slots = Math.max(1, target.entry.capacity);
    const { load, inFlight } = target;
    const isCurrent =
      this.mechanisms.loadReports && load !== undefined && now - load.at < LOAD_VALID_MS;
    const reported = isCurrent ? load.running + load.waiting : 0;
    const ahead = Math.max(inFlight, reported);
    return 1 + Math.max(0, ahead + 1 - slots) / slots + (0.15 * Math.min(ahead, slots)) / slots;
  }
}
