/** Splits a service of the demo into other shards while it is queried. */
import type { ServiceReport } from '../../src/administration/response-schemas.js';
import type { ReplicaDefinition, ShardDefinition } from '../../src/model/service-definition.js';
import type { BackendControlClient } from '../backend/backend-control-client.js';
import type { Fleet } from '../fleet/fleet.js';
import { writeShardsFile } from '../fleet/settings-files.js';
import type { Tell } from './settings-change.js';

/** Shards of the new layout for each one of the old. */
const SHARD_RATIO = 2 / 3;
const PATIENCE_SECONDS = 10;

/** Does something with every process of back ends. */
export type AtEveryProcess = (
  act: (client: BackendControlClient) => Promise<unknown>,
) => Promise<void>;

/** What the service was split into. */
export interface Repartition {
  readonly service: string;
  readonly layoutEpoch: number;
}

function deal(replicas: readonly ReplicaDefinition[], shards: number): ShardDefinition[] {
  return Array.from({ length: shards }, (_, shard) => ({
    shardId: `part-${shard}`,
    replicas: replicas.filter((_replica, index) => index % shards === shard),
  }));
}

/** The replicas take their new shards first, then the operator adds the layout. */
export async function repartition(
  fleet: Fleet,
  service: string,
  atEveryProcess: AtEveryProcess,
  tell: Tell,
): Promise<Repartition> {
  const { operator, terms } = fleet;
  const report = await operator.require('services', 'show', service, '--json');
  const layout = (JSON.parse(report) as ServiceReport).service.layouts.at(-1);
  if (layout === undefined) throw new RangeError(`${service} has no layout`);
  const replicas = layout.shards.flatMap((shard) => shard.replicas);
  const shards = deal(replicas, Math.ceil(layout.shards.length * SHARD_RATIO));
  const layoutEpoch = layout.layoutEpoch + 1;
  const shardOf = new Map(
    shards.flatMap((shard) => shard.replicas.map(({ replicaId }) => [replicaId, shard.shardId])),
  );
  await atEveryProcess(async (client) => {
    for (const { replicaId } of await client.listReplicas()) {
      const shardId = shardOf.get(replicaId);
      if (shardId === undefined) continue;
      await client.publishTo(replicaId, { layoutEpoch, indexVersion: 1, shardIds: [shardId] });
    }
  });
  const file = await writeShardsFile(terms.folder, `${service}-shards`, shards);
  tell(`$ driftway services repartition ${service} --file ${service}-shards.yaml`);
  const flags = ['--wait', String(PATIENCE_SECONDS), '--json', '-m', 'demo'];
  await operator.require('services', 'repartition', service, '--file', file, ...flags);
  tell(`${service} now has ${shards.length} shards instead of ${layout.shards.length}`);
  return { service, layoutEpoch };
}
