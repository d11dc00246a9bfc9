/** The sizes of the two deployments of today, and the layouts they give. */
import type { ServiceDefinition, ServiceKind } from '../../src/model/service-definition.js';

/** One service's size. */
export interface ServiceSize {
  readonly kind: ServiceKind;
  readonly shards: number;
  readonly replicasPerShard: number;
  readonly slots: number;
  readonly connections: number;
}

/** One deployment's zones, distances and services. */
export interface DeploymentSize {
  readonly zones: readonly string[];
  /** Between a caller and a router. Milliseconds. */
  readonly clientLatency: number;
  readonly services: Readonly<Record<string, ServiceSize>>;
}

export type DeploymentName = 'dohoku' | 'pnw';

function sharded(shards: number, slots: number): ServiceSize {
  return { kind: 'sharded', shards, replicasPerShard: 2, slots, connections: 70 };
}

function single(replicas: number, slots: number): ServiceSize {
  return { kind: 'single', shards: 1, replicasPerShard: replicas, slots, connections: 110 };
}

export const DEPLOYMENTS: Readonly<Record<DeploymentName, DeploymentSize>> = {
  dohoku: {
    zones: ['asahikawa-a', 'asahikawa-b', 'nayoro', 'wakkanai'],
    clientLatency: 1,
    services: {
      'kifu-audit': sharded(8, 5),
      'relief-pledge': sharded(12, 5),
      'receipt-desk': single(14, 2),
      'charity-register': single(7, 2),
    },
  },
  pnw: {
    zones: ['pnw-a', 'pnw-b', 'pnw-c'],
    clientLatency: 3,
    services: {
      'forecaster-desk': sharded(8, 2),
      'billing-ledger': sharded(12, 2),
      'archive-pull': single(4, 3),
      'alert-relay': single(3, 3),
    },
  },
};

export const LAYOUT_EPOCH = 1;
/** Every back end listens here, each on a machine of its own. */
export const BACKEND_PORT = 7_500;

/** Name of shard `index` in every bench. */
export function shardName(index: number): string {
  return `shard-${index}`;
}

/** Name of a replica, unique within the deployment. */
export function replicaName(service: string, shard: number, replica: number): string {
  return `${service}-${shard}-${replica}`;
}

/** The zone of a replica: the siblings of a shard stand in different zones. */
export function zoneOf(deployment: DeploymentName, shard: number, replica: number): string {
  const { zones } = DEPLOYMENTS[deployment];
  return zones[(shard + replica) % zones.length] ?? deployment;
}

function defineService(
  name: string,
  deployment: DeploymentName,
  size: ServiceSize,
  hostOf: (replicaId: string, zone: string) => string,
): ServiceDefinition {
  const shards = Array.from({ length: size.shards }, (_shard, shard) => ({
    shardId: shardName(shard),
    replicas: Array.from({ length: size.replicasPerShard }, (_replica, replica) => {
      const replicaId = replicaName(name, shard, replica);
      const zone = zoneOf(deployment, shard, replica);
      return {
        replicaId,
        address: `${hostOf(replicaId, zone)}:${BACKEND_PORT}`,
        zone,
        slots: size.slots,
        connections: size.connections,
      };
    }),
  }));
  return {
    name,
    kind: size.kind,
    region: deployment,
    layouts: [{ layoutEpoch: LAYOUT_EPOCH, shards }],
  };
}

/** All services of a deployment; `hostOf` names the machine of a replica. */
export function defineServices(
  deployment: DeploymentName,
  hostOf: (replicaId: string, zone: string) => string,
): Readonly<Record<string, ServiceDefinition>> {
  const { services } = DEPLOYMENTS[deployment];
  const definitions = Object.entries(services).map(
    ([name, size]) => [name, defineService(name, deployment, size, hostOf)] as const,
  );
  return Object.fromEntries(definitions);
}
