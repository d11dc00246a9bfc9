/**
 * Sheds a part of the fan-outs while the replicas of their shards, or the leaves that query them, are
 * overloaded, so that the others are answered in time. Replicas report their queues: queues at a few
 * slow replicas are no overload, queues at most replicas are. Leaves report the part that they admit.
 */
import type { Clock } from '../seams/clock.js';
import type { RandomSource } from '../seams/random-source.js';
import { AdmittedPart, type AdmittedPartSettings } from './admitted-part.js';
import { LeafParts } from './leaf-parts.js';
import type { ReportedLoad } from './reported-load.js';

const SETTINGS: AdmittedPartSettings = {
  samplesPerWindow: 100,
  overloadedFraction: 0.6,
  unloadedFraction: 0.35,
  increaseStep: 0.12,
  minimum: 0.3,
};
/**
 * By how much a step of priority raises the part that is refused, as a fraction of it; a higher number
 * is less urgent. A fixed step would refuse less urgent requests for the least sign of overload.
 */
const PRIORITY_WEIGHT = 0.08;

/** What is known of the load of one set of shards. */
class ShardSetLoad {
  private readonly replicas: AdmittedPart;
  private readonly leaves = new LeafParts();

  constructor(private readonly clock: Pick<Clock, 'now'>) {
    this.replicas = new AdmittedPart(SETTINGS, clock);
  }

  /** By the queues of replicas alone. */
  get replicaPart(): number {
    return this.replicas.current;
  }

  get admitted(): number {
    return Math.min(this.replicaPart, this.leaves.meanAt(this.clock.now()));
  }

  recordLeafPart(part: number): void {
    this.leaves.record(Math.min(1, Math.max(SETTINGS.minimum, part)), this.clock.now());
  }

  recordLoad({ waiting, slots }: ReportedLoad): void {
    this.replicas.record(waiting >= Math.max(1, slots));
  }
}

/** Load shedding by set of shards; a set is identified by its first shard. */
export class OverloadShedding {
  private readonly sets = new Map<string, ShardSetLoad>();

  constructor(
    private readonly clock: Pick<Clock, 'now'>,
    private readonly random: RandomSource,
  ) {}

  /** Randomly decides whether to admit a fan-out over the set that begins with `firstShard`. */
  admits(firstShard: string, priority: number): boolean {
    const refused = (1 - this.admittedPart(firstShard)) * (1 + PRIORITY_WEIGHT * priority);
    return refused <= 0 || this.random.nextFloat() >= refused;
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
   * The same by what this gateway has met at replicas alone. Only this is reported to other gateways:
   * gateways that report what they heard keep an overload alive among each other.
   */
  replicaPart(firstShard: string): number {
    return this.sets.get(firstShard)?.replicaPart ?? 1;
  }

  /**
   * Takes into account the admitted part of a leaf, a gateway that queries some shards of the set.
   */
  mergeAdmittedPart(firstShard: string, admittedPart: number): void {
    this.setOf(firstShard).recordLeafPart(admittedPart);
  }

  private setOf(firstShard: string): ShardSetLoad {
    const known = this.sets.get(firstShard);
    if (known !== undefined) return known;
    const set = new ShardSetLoad(this.clock);
    this.sets.set(firstShard, set);
    return set;
  }
}
