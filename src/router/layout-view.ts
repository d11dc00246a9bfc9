/** A shard layout joined with the router's records of its replicas. */
import type { ReplicaRecord } from '../membership/replica-record.js';
import type { ReplicaRegistry } from '../membership/replica-registry.js';
import type { ShardLayout } from '../model/service-definition.js';

/** One shard with the records of its replicas. */
export interface ShardView {
  readonly shardId: string;
  readonly replicas: readonly ReplicaRecord[];
}

/** One layout with its shards in layout order. */
export interface LayoutView {
  readonly layoutEpoch: number;
  readonly shards: readonly ShardView[];
}

/** Joins a layout with the registry's records; replicas that the registry lacks are left out. */
export function createLayoutView(layout: ShardLayout, registry: ReplicaRegistry): LayoutView {
  const shards = layout.shards.map(({ shardId, replicas }) => ({
    shardId,
    replicas: replicas
      .map(({ replicaId }) => registry.get(replicaId))
      .filter((record) => record !== undefined),
  }));
  return { layoutEpoch: layout.layoutEpoch, shards };
}
