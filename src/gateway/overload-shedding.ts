/**
 * Sheds a part of the fan-outs while the replicas of their shards are overloaded, so that the
 * others are answered in time. The decision uses the queues that replicas report: queues at a few
 * slow replicas are no overload, queues at most replicas are.
 */
import type { RandomSource } from '../seams/random-source.js';
import type { ReportedLoad } from './reported-load.js';

/** Load reports after which the admitted part is adjusted. */
const REPORTS_PER_WINDOW = 100;
/**
 * Above this fraction of reports with a long queue, the admitted part is multiplied by
 * {@link DECREASE_FACTOR}.
 */
const OVERLOADED_FRACTION = 0.6;
const DECREASE_FACTOR = 0.82;
/** Below this fraction, the admitted part grows by {@link INCREASE_STEP}. */
const UNLOADED_FRACTION = 0.35;
const INCREASE_STEP = 0.12;
const MINIMUM_ADMITTED = 0.3;
/** Additional probability of refusal per step of priority; a higher number is less urgent. */
const PRIORITY_STEP = 0.04;

/** Weight of one leaf's admitted part, low because a leaf covers only some of the shards. */
const LEAF_WEIGHT = 0.15;

/** Admission state of one set of shards. */
class ShardSetLoad {
  admitted = 1;
  private reports = 0;
  private longQueues = 0;

  /** Moves the admitted part of the whole set towards that of a leaf. */
  mergeAdmitted(admitted: number): void {
    this.admitted += (admitted - this.admitted) * LEAF_WEIGHT;
  }

  recordLoad({ waiting, slots }: ReportedLoad): void {
    this.reports += 1;
    if (waiting >= Math.max(1, slots)) this.longQueues += 1;
    if (this.reports < REPORTS_PER_WINDOW) return;
    this.adjust(this.longQueues / this.reports);
    this.reports = 0;
    this.longQueues = 0;
  }

  private adjust(longQueueFraction: number): void {
    if (longQueueFraction > OVERLOADED_FRACTION) this.admitted *= DECREASE_FACTOR;
    else if (longQueueFraction < UNLOADED_FRACTION) this.admitted += INCREASE_STEP;
    this.admitted = Math.min(1, Math.max(MINIMUM_ADMITTED, this.admitted));
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
    this.setOf(firstShard).mergeAdmitted(Math.min(1, Math.max(MINIMUM_ADMITTED, admittedPart)));
  }

  private setOf(firstShard: string): ShardSetLoad {
    const known = this.sets.get(firstShard);
    if (known !== undefined) return known;
    const set = new ShardSetLoad();
    this.sets.set(firstShard, set);
    return set;
  }
}
