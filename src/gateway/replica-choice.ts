/**
 * Which replica of a service gets a request: the one for which the risk of a late
 * answer and the cost of traffic between zones are the least together, by what
 * this gateway saw of it and what it said of its load.
 */
import type { GatewayMechanisms } from '../configuration/gateway-mechanisms.js';
import type { Clock } from '../seams/clock.js';
import type { RandomSource } from '../seams/random-source.js';
import type { ReplicaTarget } from './replica-target.js';

/** What a replica said of its load is used for this long. */
const LOAD_VALID_MS = 400;
/**
 * What a replica says of the time that work takes changes several times a second:
 * it counts half after this long.
 */
const WORK_HALF_LIFE_MS = 200;
/**
 * Most that a sending to another zone counts for, as a part of what is lost when the answer is
 * late: a near replica that is expected to take more than half of the target is left for it.
 */
const MAXIMUM_ZONE_COST_FRACTION = 0.3;
/** A warming replica takes this many times as long. */
const WARMUP_FACTOR = 1.6;
/** Spread of chance, so that gateways that know the same do not all choose the same. */
const JITTER_FACTOR = 0.1;
/** An attempt in flight that waits longer than this many usual times shows a pause. */
const STALL_RATIO = 3;
const STALL_FACTOR = 4;

/** Where the gateway is, and what distance costs it. */
export interface PlacementOptions {
  readonly zone: string;
  /** Cost of one sending to another zone, as a part of the worth of one request in time. */
  readonly otherZoneCost: number;
}

/** What a choice goes by. Durations are milliseconds. */
export interface ChoiceQuery {
  readonly targets: readonly ReplicaTarget[];
  /** Replicas that are not to be asked. */
  readonly excluded: ReadonlySet<ReplicaTarget>;
  /** Usual time of an answer. */
  readonly medianLatency: number;
  /** Time within which the request is to be answered. */
  readonly targetLatency: number;
  /** Part of the request's worth that is lost when this one answer is late; at most 1. */
  readonly valueFraction: number;
  /** Most attempts in flight from here to one replica. */
  readonly maximumInFlight: number;
  /** See `ColdSendSlots`; Infinity where cold replicas get as many requests as others. */
  readonly coldSendInterval: number;
}

/** How long work takes at the replica over what is usual there, as far as its last word still holds. */
function decayedWorkFactor({ load }: ReplicaTarget, now: number): number {
  if (load === undefined) return 1;
  const weight = 0.5 ** ((now - load.at) / WORK_HALF_LIFE_MS);
  return 1 + (load.workFactor - 1) * weight;
}

/** See the module comment. */
export class ReplicaChoice {
  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly placement: PlacementOptions,
    private readonly mechanisms: GatewayMechanisms,
  ) {}

  /** The best replica; resting ones and full ones only where there is no other; undefined when all are full. */
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
    { coldUntil: coldUntil, coldSendLimiter: coldSendLimiter }: ReplicaTarget,
    { coldSendInterval: coldSendInterval }: ChoiceQuery,
    now: number,
  ): boolean {
    const isBounded = now < coldUntil && Number.isFinite(coldSendInterval);
    return isBounded && !coldSendLimiter.allows(now, coldSendInterval);
  }

  /** As a part of the worth of one request in time. */
  private cost(target: ReplicaTarget, query: ChoiceQuery, now: number): number {
    const isSameZone = target.entry.zone === this.placement.zone;
    const zoneCost = isSameZone ? 0 : this.zoneCost(query);
    const jitter = 1 + JITTER_FACTOR * this.random.nextFloat();
    return this.latenessCost(target, query, now) * jitter + zoneCost;
  }

  /** Of one shard of many little is lost when its answer is late, and still more than the way costs. */
  private zoneCost({ valueFraction: valueFraction }: ChoiceQuery): number {
    return Math.min(this.placement.otherZoneCost, valueFraction * MAXIMUM_ZONE_COST_FRACTION);
  }

  /**
   * A little more time matters little while there is plenty left, and ever more
   * as the expected time comes near the target: it grows with its square.
   */
  private latenessCost(target: ReplicaTarget, query: ChoiceQuery, now: number): number {
    const { medianLatency: medianLatency, targetLatency, valueFraction: valueFraction } = query;
    const expectedTime = medianLatency * this.latencyFactor(target, medianLatency, now);
    return valueFraction * (expectedTime / targetLatency) ** 2;
  }

  /** Expected time until the answer, in usual times. */
  private latencyFactor(target: ReplicaTarget, medianLatency: number, now: number): number {
    let factor = this.queueFactor(target, now);
    if (this.mechanisms.workReports) factor *= decayedWorkFactor(target, now);
    if (this.mechanisms.slowness) factor *= target.slownessAt(now);
    if (now < target.coldUntil) factor *= WARMUP_FACTOR;
    const isStalled = target.oldestWait(now) > STALL_RATIO * medianLatency;
    if (this.mechanisms.stalls && isStalled) factor *= STALL_FACTOR;
    return factor;
  }

  /** How many times as long a request takes because of those before it. */
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
