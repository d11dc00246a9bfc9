/** The configuration of scale runs: services of the expected shape, up to a number of replicas. */
import type {
  ReplicaDefinition,
  ServiceDefinition,
  ShardDefinition,
} from '../../src/model/service-definition.js';
import type { Operation } from '../../src/settings/change.js';

export const SCALE_REGION = 'region-1';
/** Shards of one service: what each query is sent to at the expected size. */
export const SHARDS_PER_SERVICE = 240;
export const REPLICAS_PER_SHARD = 2;
const REPLICAS_PER_SERVICE = SHARDS_PER_SERVICE * REPLICAS_PER_SHARD;
const SLOTS = 5;
const CONNECTIONS = 70;
const ADDRESSES_PER_BYTE = 250;

export function zoneName(index: number): string {
  return `zone-${index + 1}`;
}

function serviceName(index: number): string {
  return `service-${index + 1}`;
}

/** The scope of a change to one service's settings. */
export function serviceScope(index: number): string {
  return `service/${serviceName(index)}`;
}

/** Loopback address that no other replica has; port as given. */
export function replicaAddress(index: number, port: number): string {
  const high = Math.floor(index / ADDRESSES_PER_BYTE) + 1;
  return `127.1.${high}.${(index % ADDRESSES_PER_BYTE) + 1}:${port}`;
}

/** Replica `index` of all. */
export function scaleReplica(index: number, zones: number, port: number): ReplicaDefinition {
  return {
    replicaId: `replica-${index}`,
    address: replicaAddress(index, port),
    zone: zoneName(index % zones),
    slots: SLOTS,
    connections: CONNECTIONS,
  };
}

/** A port that nothing in a control run connects to. */
const UNUSED_PORT = 9;

function scaleService(number: number, replicas: number, zones: number): ServiceDefinition {
  const first = number * REPLICAS_PER_SERVICE;
  const count = Math.min(REPLICAS_PER_SERVICE, replicas - first);
  const shards: ShardDefinition[] = [];
  for (let offset = 0; offset < count; offset += REPLICAS_PER_SHARD) {
    const members = Array.from({ length: Math.min(REPLICAS_PER_SHARD, count - offset) }, (_, add) =>
      scaleReplica(first + offset + add, zones, UNUSED_PORT),
    );
    shards.push({ shardId: `shard-${shards.length}`, replicas: members });
  }
  return {
    name: serviceName(number),
    kind: 'sharded',
    region: SCALE_REGION,
    layouts: [{ layoutEpoch: 1, shards }],
  };
}

/** One operation list for each change that builds the configuration, within the size of a request. */
export function scaleConfiguration(replicas: number, zones: number): readonly Operation[][] {
  const names = Array.from({ length: zones }, (_, index) => zoneName(index));
  const services = Math.ceil(replicas / REPLICAS_PER_SERVICE);
  return [
    [{ type: 'createRegion', region: SCALE_REGION, zones: names }],
    ...Array.from({ length: services }, (_, index): Operation[] => [
      { type: 'createService', service: scaleService(index, replicas, zones) },
    ]),
  ];
}

/** The change that runs repeat: one key of one service. `number` makes each differ. */
export function settingChange(number: number): Operation[] {
  return [{ type: 'set', scope: serviceScope(0), key: 'queueLimit', value: 1 + (number % 1_000) }];
}
