/**
 * Chooses the snapshot a query is drawn from; see docs/design/snapshots.md.
 * First choice: the newest snapshot that at least one live replica of every
 * asked shard holds. Second: the newest held in enough shards for the required
 * coverage. Within each choice, replicas whose reports arrive are preferred.
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

/** What the plan has to fulfil. */
export interface PlanRequest {
  /** 0 to 1. */
  readonly requiredCoverage: number;
  readonly key: string | undefined;
  /** Snapshots, as `epoch.version`, that a former try found gone. */
  readonly excluded: ReadonlySet<string>;
}

/** Least number of shards that makes `fraction` of `total`, proof against rounding of fractions. */
export function requiredShardCount(fraction: number, total: number): number {
  const ROUNDING_TOLERANCE = 1e-9;
  return Math.max(1, Math.ceil(fraction * total - ROUNDING_TOLERANCE));
}

/** Plans for one service at one settings revision. */
export class SnapshotPlanner {
  private readonly cache = new PlanCache();

  constructor(
    private readonly layouts: readonly LayoutView[],
    private readonly registry: ReplicaRegistry,
  ) {}

  /** Undefined when no snapshot can reach the required coverage now. */
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

  /** Shards of which some usable replica holds the plan's snapshot. */
  private countHeldShards(plan: QueryPlan, mayUse: (record: ReplicaRecord) => boolean): number {
    const isHeld = (shard: ShardView): boolean =>
      shard.replicas.some((record) => record.holds(plan.snapshotText) && mayUse(record));
    return plan.shards.filter(isHeld).length;
  }

  /** One possible plan for each snapshot that anyone holds, newest first. */
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

/** Snapshots of the layout's epoch that replicas of `shards` hold, each once. */
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
