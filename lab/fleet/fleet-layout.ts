/** Which replicas a fleet file asks for, where they run, and how operators would describe them. */
import type { ServiceDefinition } from '../../src/model/service-definition.js';
import type { Operation } from '../../src/settings/change.js';
import { formatScope } from '../../src/settings/scope.js';
import { backendBehaviourSchema, type BackendReplica } from '../backend/backend-process-file.js';
import { LAYOUT_EPOCH, replicaName, shardName } from '../bench/deployment.js';
import type { FleetFile, FleetService } from './fleet-file.js';

const FIRST_SNAPSHOT = { layoutEpoch: LAYOUT_EPOCH, indexVersion: 1 };
const ANY_PORT = { host: '127.0.0.1', port: 0 };

/** Element `index` of a list that is gone through again and again. */
export function inTurn<T>(items: readonly T[], index: number): T {
  const item = items[index % items.length];
  if (item === undefined) throw new RangeError('nothing to take in turn');
  return item;
}

function range(length: number): number[] {
  return Array.from({ length }, (_, index) => index);
}

function replicasOf(service: FleetService): BackendReplica[] {
  const { name, shards, replicasPerShard } = service;
  const behaviour = backendBehaviourSchema.parse(service);
  return range(shards).flatMap((shard) =>
    range(replicasPerShard).map((replica) => ({
      ...behaviour,
      replicaId: replicaName(name, shard, replica),
      service: name,
      address: ANY_PORT,
      shardIds: [shardName(shard)],
      snapshot: FIRST_SNAPSHOT,
    })),
  );
}

/** The replicas of each back-end process; siblings of a shard go to different ones. */
export function dealReplicas(file: FleetFile): BackendReplica[][] {
  const processes = range(file.backendProcesses).map((): BackendReplica[] => []);
  const replicas = file.services.flatMap(replicasOf);
  replicas.forEach((replica, index) => inTurn(processes, index).push(replica));
  return processes.filter((process) => process.length > 0);
}

/** The siblings of a shard stand in different zones. */
function defineService(
  file: FleetFile,
  service: FleetService,
  addresses: ReadonlyMap<string, string>,
): ServiceDefinition {
  const { name, kind, slots, connections } = service;
  const shards = range(service.shards).map((shard) => ({
    shardId: shardName(shard),
    replicas: range(service.replicasPerShard).map((replica) => {
      const replicaId = replicaName(name, shard, replica);
      const address = addresses.get(replicaId) ?? '';
      return { replicaId, address, zone: inTurn(file.zones, shard + replica), slots, connections };
    }),
  }));
  return { name, kind, region: file.name, layouts: [{ layoutEpoch: LAYOUT_EPOCH, shards }] };
}

function settingOperations({ name, settings }: FleetService): Operation[] {
  const scope = formatScope({ level: 'service', service: name });
  return Object.entries(settings).map(
    ([key, value]) => ({ type: 'set', scope, key, value }) as Operation,
  );
}

/** The change that creates everything the fleet serves; `addresses` by replica id. */
export function firstChange(
  file: FleetFile,
  addresses: ReadonlyMap<string, string>,
): readonly Operation[] {
  return [
    { type: 'createRegion', region: file.name, zones: file.zones },
    ...file.services.flatMap((service): Operation[] => [
      { type: 'createService', service: defineService(file, service, addresses) },
      ...settingOperations(service),
    ]),
  ];
}
