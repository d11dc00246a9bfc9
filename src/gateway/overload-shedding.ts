/**
 * Refuses a part of the fan-outs while the replicas of their shards are
 * overloaded, so that the others are answered in time. What replicas say of
 * their queues decides: a few slow replicas are no overload, queues at most of
 * them are.
 */
import type { RandomSource } from '../seams/random-source.js';
import type { ReportedLoad } from './reported-load.js';

/** Reports after which the admitted part is reckoned afresh. */
const REPORTS_PER_WINDOW = 100;
/** Above this share of reports with a long queue the admitted part is multiplied by a factor. */
const OVERLOADED_FRACTION = 0.6;
const DECREASE_FACTOR = 0.82;
/** Below this share the admitted part grows by a step. */
const UNLOADED_FRACTION = 0.35;
const INCREASE_STEP = 0.12;
const MINIMUM_ADMITTED = 0.3;
/** Of two requests the less urgent is refused a little more often for each rank. */
const PRIORITY_STEP = 0.04;

/** Weight of one leaf's word: each speaks for a part of the shards. */
const LEAF_WEIGHT = 0.15;

/** Of one set of shards. */
class ShardSetLoad {
  admitted = 1;
  private reports = 0;
  private longQueues = 0;

  /** What a leaf admits for some of the shards moves the whole set by a part. */
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

/** See the module comment. */
export class OverloadShedding {
  private readonly sets = new Map<string, ShardSetLoad>();

  constructor(private readonly random: RandomSource) {}

  /** Whether a fan-out over the set that begins with `firstShard` is taken on. */
  admits(firstShard: string, priority: number): boolean {
    const admitted = this.admittedPart(firstShard);
    if (admitted >= 1) return true;
    return this.random.nextFloat() < admitted - PRIORITY_STEP * priority;
  }

  /** A replica of the set told its load. */
  recordLoad(firstShard: string, load: ReportedLoad): void {
    this.setOf(firstShard).recordLoad(load);
  }

  /** Part of the requests to the set that is taken on. */
  admittedPart(firstShard: string): number {
    return this.sets.get(firstShard)?.admitted ?? 1;
  }

  /** Another gateway, which asks some shards of the set, takes on this part. */
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
