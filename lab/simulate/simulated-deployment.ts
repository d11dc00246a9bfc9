/**
 * The deployments of today, scaled down so that hundreds of seeds run in
 * minutes: a quarter of the shards and at most three replicas a shard.
 */
import type { ReplicaDefinition, ServiceDefinition } from '../../src/model/service-definition.js';
import {
  BACKEND_PORT,
  DEPLOYMENTS,
  LAYOUT_EPOCH,
  replicaName,
  shardName,
  zoneOf,
  type DeploymentName,
  type ServiceSize,
} from '../bench/deployment.js';

const SHARD_SCALE = 4;
const FEWEST_SHARDS = 2;
const MOST_REPLICAS_PER_SHARD = 3;

/** Services whose requests must not run twice: pledges and billed retrievals. */
const NOT_REPEATABLE = new Set(['relief-pledge', 'archive-pull']);

/** Gives the machine of a replica an IP number. */
export type HostOf = (replicaId: string, zone: string) => string;

/** Whether the callers of a service may ask twice. */
export function isRepeatable(service: string): boolean {
  return !NOT_REPEATABLE.has(service);
}

/** Shards of a service here. */
export function scaledShards({ kind, shards }: ServiceSize): number {
  return kind === 'single' ? 1 : Math.max(FEWEST_SHARDS, Math.round(shards / SHARD_SCALE));
}

function defineReplica(
  deployment: DeploymentName,
  service: string,
  size: ServiceSize,
  place: { shard: number; replica: number },
  hostOf: HostOf,
): ReplicaDefinition {
  const replicaId = replicaName(service, place.shard, place.replica);
  const zone = zoneOf(deployment, place.shard, place.replica);
  const address = `${hostOf(replicaId, zone)}:${BACKEND_PORT}`;
  const { slots, connections } = size;
  return { replicaId, address, zone, slots, connections };
}

function defineService(
  deployment: DeploymentName,
  name: string,
  size: ServiceSize,
  hostOf: HostOf,
): ServiceDefinition {
  const replicas = Math.min(size.replicasPerShard, MOST_REPLICAS_PER_SHARD);
  const shards = Array.from({ length: scaledShards(size) }, (_shard, shard) => ({
    shardId: shardName(shard),
    replicas: Array.from({ length: replicas }, (_replica, replica) =>
      defineReplica(deployment, name, size, { shard, replica }, hostOf),
    ),
  }));
  const layouts = [{ layoutEpoch: LAYOUT_EPOCH, shards }];
  return { name, kind: size.kind, region: deployment, layouts };
}

/** All services of the scaled deployment. */
export function defineScaledServices(
  deployment: DeploymentName,
  hostOf: HostOf,
): readonly ServiceDefinition[] {
  const { services } = DEPLOYMENTS[deployment];
  return Object.entries(services).map(([name, size]) =>
    defineService(deployment, name, size, hostOf),
  );
}
