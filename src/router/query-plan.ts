/** What one try of a query will do: one snapshot, one layout, the shards to ask. */
import type { Snapshot } from '../model/snapshot.js';
import type { ShardView } from './layout-view.js';

/** Made once for each try and never changed. */
export interface QueryPlan {
  readonly snapshot: Snapshot;
  /** The snapshot as `epoch.version`. */
  readonly snapshotText: string;
  /** Every shard of the layout, or the one that holds the key. */
  readonly shards: readonly ShardView[];
}
