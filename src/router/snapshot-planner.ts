/**
 * Chooses the snapshot that answers a query; see docs/design/snapshots.md. First choice:
 * the newest snapshot that at least one live replica of every queried shard holds. Second
 * choice: the newest held in enough shards for the required coverage. Each choice is tried
 * with only the replicas whose reports arrive, and then with all live replicas.
 */
import type { ReplicaRecord } from '../membership/replica-record.js';
import type { ReplicaRegistry } from '../membership/replica-registry.js';
import {
  compareSnapshots,
  formatSnapshot,
  parseSnapshot,
  type Snapshot,
} from '../model/snapshot.js';
import type { LayoutView, ShardView } from './layout-view.js';
import { PlanCache } from './plan-cache.js';
import type { QueryPlan } from './query-plan.js';
import { shardIndexOfKey } from './shard-of-key.js';

/** Requirements of a plan. */
export interface PlanRequest {
  /** Minimum fraction of the queried shards, 0 to 1. */
  readonly requiredCoverage: number;
  /** Limits the plan to the shard that holds the key. */
  readonly key: string | undefined;
  /** Snapshots, as `epoch.version`, that replicas lacked in an earlier execution. */
  readonly excluded: ReadonlySet<string>;
}

/** Minimum number of shards, at least 1, that makes `fraction` of `total`; tolerates rounding errors. */
export function requiredShardCount(fraction: number, total: number): number {
  const ROUNDING_TOLERANCE = 1e-9;
  return Math.max(1, Math.ceil(fraction * total - ROUNDING_TOLERANCE));
}

/** Plans the queries of one service at one configuration revision. */
export class SnapshotPlanner {
  private readonly cache = new PlanCache();

  constructor(
    private readonly layouts: readonly LayoutView[],
    private readonly registry: ReplicaRegistry,
  ) {}

  /** A plan, or undefined when no snapshot currently reaches the required coverage. */
  plan(request: PlanRequest): QueryPlan | undefined {
    const cacheable = request.key === undefined && request.excluded.size === 0;
    if (!cacheable) return this.choose(request);
    const { generation } = this.registry;
    return this.cache.get(generation, request.requiredCoverage, () => this.choose(request));
  }

  private choose(request: PlanRequest): QueryPlan | undefined {
    const candidates = this.candidates(request);
    const sufficientCount = (plan: QueryPlan): number =>
      requiredShardCount(request.requiredCoverage, plan.shards.length);
    const fullCount = (plan: QueryPlan): number => plan.shards.length;
    for (const needed of [fullCount, sufficientCount]) {
      for (const mayUse of [this.isReporting, this.isUsable]) {
        const plan = candidates.find((each) => this.countHeldShards(each, mayUse) >= needed(each));
        if (plan !== undefined) return plan;
      }
    }
    return undefined;
  }

  private readonly isUsable = (record: ReplicaRecord): boolean => this.registry.mayReceive(record);

  private readonly isReporting = (record: ReplicaRecord): boolean =>
    this.registry.mayReceive(record) && !record.isSuspect;

  /** Number of the plan's shards with a replica that satisfies `mayUse` and holds the snapshot. */
  private countHeldShards(plan: QueryPlan, mayUse: (record: ReplicaRecord) => boolean): number {
    const isHeld = (shard: ShardView): boolean =>
      shard.replicas.some((record) => record.holds(plan.snapshotText) && mayUse(record));
    return plan.shards.filter(isHeld).length;
  }

  /** One candidate plan for each snapshot that any replica holds, newest first. */
  private candidates(request: PlanRequest): QueryPlan[] {
    const plans: QueryPlan[] = [];
    for (const layout of this.layouts) {
      const shards = selectShards(layout, request.key);
      for (const snapshot of heldSnapshots(layout, shards)) {
        const snapshotText = formatSnapshot(snapshot);
        if (!request.excluded.has(snapshotText)) plans.push({ snapshot, snapshotText, shards });
      }
    }
    return plans.sort((left, right) => compareSnapshots(right.snapshot, left.snapshot));
  }
}

function selectShards(layout: LayoutView, key: string | undefined): readonly ShardView[] {
  if (key === undefined) return layout.shards;
  const index = shardIndexOfKey(key, layout.shards.length);
  return layout.shards.slice(index, index + 1);
}

/** Distinct snapshots of the layout's epoch that replicas of `shards` hold. */
function heldSnapshots(layout: LayoutView, shards: readonly ShardView[]): Snapshot[] {
  const texts = new Set<string>();
  for (const shard of shards) {
    for (const record of shard.replicas) {
      for (const text of record.heldSnapshots()) texts.add(text);
    }
  }
  return [...texts]
    .map((text) => parseSnapshot(text))
    .filter((snapshot) => snapshot?.layoutEpoch === layout.layoutEpoch)
    .filter((snapshot) => snapshot !== undefined);
}
