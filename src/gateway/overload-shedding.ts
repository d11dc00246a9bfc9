/**
 * Sheds a part of the fan-outs while the replicas of their shards are overloaded, so that the
 * others are answered in time. The decision uses the queues that replicas report: queues at a few
 * slow replicas are no overload, queues at most replicas are.
 */
import { AdmittedPart, type AdmittedPartSettings } from './admitted-part.js';
import type { RandomSource } from '../seams/random-source.js';
import type { ReportedLoad } from './reported-load.js';

const SETTINGS: AdmittedPartSettings = {
  samplesPerWindow: 100,
  overloadedFraction: 0.6,
  unloadedFraction: 0.35,
  increaseStep: 0.12,
  minimum: 0.3,
};
/** Additional probability of refusal per step of priority; a higher number is less urgent. */
const PRIORITY_STEP = 0.04;

/** Weight of one leaf's admitted part, low because a leaf covers only some of the shards. */
const LEAF_WEIGHT = 0.15;

/** Admission state of one set of shards. */
class ShardSetLoad {
  private readonly part = new AdmittedPart(SETTINGS);

  get admitted(): number {
    return this.part.current;
  }

  /** Moves the admitted part of the whole set towards that of a leaf. */
  mergeAdmitted(admitted: number): void {
    this.part.current += (admitted - this.part.current) * LEAF_WEIGHT;
  }

  recordLoad({ waiting, slots }: ReportedLoad): void {
    this.part.record(waiting >= Math.max(1, slots));
  }
}

/** Load shedding by set of shards; a set is identified by its first shard. */
export class OverloadShedding {
  private readonly sets = new Map<string, ShardSetLoad>();

  constructor(private readonly random: RandomSource) {}

  /** Randomly decides whether to admit a fan-out over the set that begins with `firstShard`. */
  admits(firstShard: string, priority: number): boolean {
    const admitted = this.admittedPart(firstShard);
    if (admitted >= 1) return true;
    return this.random.nextFloat() < admitted - PRIORITY_STEP * priority;
  }

  /** Records a load report of a replica of the set. */
  recordLoad(firstShard: string, load: ReportedLoad): void {
    this.setOf(firstShard).recordLoad(load);
  }

  /** Fraction of the requests to the set that is admitted, from 0 to 1. */
  admittedPart(firstShard: string): number {
    return this.sets.get(firstShard)?.admitted ?? 1;
  }

  /**
   * Takes into account the admitted part of a leaf, a gateway that queries some shards of the set.
   */
  mergeAdmittedPart(firstShard: string, admittedPart: number): void {
    this.setOf(firstShard).mergeAdmitted(Math.min(1, Math.max(SETTINGS.minimum, admittedPart)));
  }

  private setOf(firstShard: string): ShardSetLoad {
    const known = this.sets.get(firstShard);
    if (known !== undefined) return known;
    const set = new ShardSetLoad();
    this.sets.set(firstShard, set);
    return set;
  }
}
