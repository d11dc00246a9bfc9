/**
 * Which replica of a service gets a request: the one from which the answer is
 * expected first, by what this gateway saw of it and what it said of its load.
 */
import type { Clock } from '../seams/clock.js';
import type { RandomSource } from '../seams/random-source.js';
import type { ReplicaTarget } from './replica-target.js';

/** What a replica said of its load is used for this long. */
const LOAD_VALID_MS = 400;
/** A warming replica takes this many times as long. */
const WARMUP_FACTOR = 1.6;
/** Bytes between zones are paid for, and they take a little longer. */
const OTHER_ZONE_FACTOR = 1.1;
/** Spread of chance, so that gateways that know the same do not all choose the same. */
const CHANCE_FACTOR = 0.1;
/** An attempt in flight that waits longer than this many usual times shows a pause. */
const STALL_RATIO = 3;
const STALL_FACTOR = 4;

/** What a choice goes by. */
export interface ChoiceQuery {
  readonly targets: readonly ReplicaTarget[];
  /** Replicas that are not to be asked. */
  readonly excluded: ReadonlySet<ReplicaTarget>;
  /** Usual time of an answer. Milliseconds. */
  readonly usualLatency: number;
  /** Most attempts in flight from here to one replica. */
  readonly maximumInFlight: number;
}

/** See the module comment. */
export class ReplicaChoice {
  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly zone: string,
  ) {}

  /** The best replica; resting ones only where there is no other; undefined when all are full. */
  choose(query: ChoiceQuery): ReplicaTarget | undefined {
    const now = this.clock.now();
    let best: ReplicaTarget | undefined;
    let bestCost = Infinity;
    let resting: ReplicaTarget | undefined;
    for (const target of query.targets) {
      if (query.excluded.has(target) || target.isReplaced(now)) continue;
      if (target.inFlight >= query.maximumInFlight) continue;
      if (target.isResting(now)) {
        resting ??= target;
        continue;
      }
      const cost = this.cost(target, query.usualLatency, now);
      if (cost < bestCost) [best, bestCost] = [target, cost];
    }
    return best ?? resting;
  }

  /** Expected time until the answer, in usual times. */
  private cost(target: ReplicaTarget, usualLatency: number, now: number): number {
    let cost = target.slownessAt(now) * this.queueFactor(target, now);
    if (now < target.warmUntil) cost *= WARMUP_FACTOR;
    if (target.entry.zone !== this.zone) cost *= OTHER_ZONE_FACTOR;
    if (target.oldestWait(now) > STALL_RATIO * usualLatency) cost *= STALL_FACTOR;
    return cost * (1 + CHANCE_FACTOR * this.random.nextFloat());
  }

  /** How many times as long a request takes because of those before it. */
  private queueFactor(target: ReplicaTarget, now: number): number {
    const slots = Math.max(1, target.entry.capacity);
    const { load, inFlight } = target;
    const isCurrent = load !== undefined && now - load.at < LOAD_VALID_MS;
    const reported = isCurrent ? load.running + load.waiting : 0;
    const ahead = Math.max(inFlight, reported);
    return 1 + Math.max(0, ahead + 1 - slots) / slots + (0.15 * Math.min(ahead, slots)) / slots;
  }
}
