/** What must hold of one service's layouts and replicas. */
import {
  serviceSchema,
  type ReplicaDefinition,
  type ServiceDefinition,
  type ShardLayout,
} from '../model/service-definition.js';
import { parseAddress } from '../seams/address.js';
import { ChangeRejectedError } from './change-rejected-error.js';
import type { ConfigurationState } from './configuration-state.js';
import { lookUp } from './look-up.js';

function requireUnique(path: string, what: string, names: readonly string[]): void {
  const seen = new Set<string>();
  for (const name of names) {
    if (seen.has(name)) throw new ChangeRejectedError(path, `${what} ${name} is there twice`);
    seen.add(name);
  }
}

function validateReplica(path: string, replica: ReplicaDefinition, zones: readonly string[]): void {
  if (!zones.includes(replica.zone)) {
    const reason = `zone ${replica.zone} of replica ${replica.replicaId} is not in its region`;
    throw new ChangeRejectedError(path, reason);
  }
  try {
    parseAddress(replica.address);
  } catch (error) {
    throw new ChangeRejectedError(path, (error as Error).message);
  }
}

function validateLayout(path: string, layout: ShardLayout, zones: readonly string[]): void {
  const replicas = layout.shards.flatMap((shard) => shard.replicas);
  requireUnique(
    path,
    'shard',
    layout.shards.map((shard) => shard.shardId),
  );
  requireUnique(
    path,
    'replica',
    replicas.map((replica) => replica.replicaId),
  );
  for (const shard of layout.shards) {
    requireUnique(
      `${path}.${shard.shardId}`,
      'address',
      shard.replicas.map((replica) => replica.address),
    );
  }
  for (const replica of replicas) validateReplica(path, replica, zones);
}

/**
 * Checks one service against the regions.
 *
 * @throws ChangeRejectedError naming the first thing that is wrong.
 */
export function validateService(state: ConfigurationState, service: ServiceDefinition): void {
  const path = `services.${service.name}`;
  const parsed = serviceSchema.safeParse(service);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const where = [path, ...(issue?.path ?? []).map(String)].join('.');
    throw new ChangeRejectedError(where, issue?.message ?? 'not valid');
  }
  const region = lookUp(state.regions, service.region);
  if (region === undefined) {
    throw new ChangeRejectedError(path, `there is no region ${service.region}`);
  }
  for (const layout of service.layouts) {
    const layoutPath = `${path}.layouts.${layout.layoutEpoch}`;
    if (service.kind === 'single' && layout.shards.length !== 1) {
      throw new ChangeRejectedError(layoutPath, 'a single-server service has exactly one shard');
    }
    validateLayout(layoutPath, layout, region.zones);
  }
}
