/** The plan of one execution of a query: a snapshot, its layout and the shards to query. */
import type { Snapshot } from '../model/snapshot.js';
import type { ShardView } from './layout-view.js';

/** Immutable plan; a cached plan is shared by several queries. */
export interface QueryPlan {
  readonly snapshot: Snapshot;
  /** The snapshot as `epoch.version`. */
  readonly snapshotText: string;
  /** Every shard of the layout, or the one that holds the key. */
  readonly shards: readonly ShardView[];
}
