/** The service that router measurements query: every shard on one stand-in replica. */
import type { ReplicaDefinition, ServiceDefinition } from '../../src/model/service-definition.js';
import type { ConfigurationState } from '../../src/settings/configuration-state.js';
import type { SettingsOverride } from '../../src/settings/service-settings.js';

export const MEASURED_SERVICE = 'measured';
export const MEASURED_REGION = 'region-1';
export const MEASURED_ZONE = 'zone-1';
/** What every request asks; about as long as a search of a few words. */
export const MEASURED_QUERY = { text: 'storm relief pledges of the last winter', limit: 10 };
/** Milliseconds. */
export const MEASURED_DEADLINE = 30_000;

const SLOTS = 1_000;

export function shardName(index: number): string {
  return `shard-${index}`;
}

export function replicaName(index: number): string {
  return `replica-${index}`;
}

/** Replica `index` at a port of this machine. */
export function measuredReplica(
  index: number,
  port: number,
  connections: number,
): ReplicaDefinition {
  return {
    replicaId: replicaName(index),
    address: `127.0.0.1:${port}`,
    zone: MEASURED_ZONE,
    slots: SLOTS,
    connections,
  };
}

/** A configuration whose one service has a shard for each port. */
export function measuredConfiguration(
  ports: readonly number[],
  connections: number,
): ConfigurationState {
  const shards = ports.map((port, index) => ({
    shardId: shardName(index),
    replicas: [measuredReplica(index, port, connections)],
  }));
  const service: ServiceDefinition = {
    name: MEASURED_SERVICE,
    kind: 'sharded',
    region: MEASURED_REGION,
    layouts: [{ layoutEpoch: 1, shards }],
  };
  const override: SettingsOverride = {
    maximumDeadlineMs: MEASURED_DEADLINE,
    maximumInFlight: 10_000,
  };
  return {
    revision: 1,
    regions: { [MEASURED_REGION]: { name: MEASURED_REGION, zones: [MEASURED_ZONE] } },
    services: { [MEASURED_SERVICE]: service },
    overrides: { [`service/${MEASURED_SERVICE}`]: override },
  };
}
