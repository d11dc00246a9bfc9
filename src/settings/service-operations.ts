/** The operations on services, their layouts and their replicas. */
import type {
  ServiceDefinition,
  ShardDefinition,
  ShardLayout,
} from '../model/service-definition.js';
import type { OperationOf } from './change.js';
import { ChangeRejectedError } from './change-rejected-error.js';
import type { ConfigurationState } from './configuration-state.js';
import { lookUp } from './look-up.js';
import { formatScope } from './scope.js';

function serviceOf(state: ConfigurationState, name: string): ServiceDefinition {
  const service = lookUp(state.services, name);
  if (service === undefined)
    throw new ChangeRejectedError('service', `there is no service ${name}`);
  return service;
}

/** The newest layout; a service always has one. */
function newestLayout(service: ServiceDefinition): ShardLayout {
  return service.layouts.at(-1) as ShardLayout;
}

function withService(state: ConfigurationState, service: ServiceDefinition): ConfigurationState {
  return { ...state, services: { ...state.services, [service.name]: service } };
}

function withLayout(service: ServiceDefinition, layout: ShardLayout): ServiceDefinition {
  const layouts = service.layouts.map((known) =>
    known.layoutEpoch === layout.layoutEpoch ? layout : known,
  );
  return { ...service, layouts };
}

export function createService(
  state: ConfigurationState,
  { service }: OperationOf<'createService'>,
): ConfigurationState {
  if (lookUp(state.services, service.name) !== undefined) {
    throw new ChangeRejectedError('service.name', `${service.name} exists already`);
  }
  if (service.layouts.length !== 1) {
    throw new ChangeRejectedError('service.layouts', 'a new service has exactly one layout');
  }
  return withService(state, service);
}

export function removeService(
  state: ConfigurationState,
  operation: OperationOf<'removeService'>,
): ConfigurationState {
  const { name } = serviceOf(state, operation.service);
  const services = { ...state.services };
  delete services[name];
  const overrides = { ...state.overrides };
  delete overrides[formatScope({ level: 'service', service: name })];
  return { ...state, services, overrides };
}

export function repartition(
  state: ConfigurationState,
  operation: OperationOf<'repartition'>,
): ConfigurationState {
  const service = serviceOf(state, operation.service);
  const layoutEpoch = newestLayout(service).layoutEpoch + 1;
  const layouts = [...service.layouts, { layoutEpoch, shards: operation.shards }];
  return withService(state, { ...service, layouts });
}

/** The newest layout cannot be dropped: its epoch would be given out again for other shards. */
export function dropLayout(
  state: ConfigurationState,
  { service: name, layoutEpoch }: OperationOf<'dropLayout'>,
): ConfigurationState {
  const service = serviceOf(state, name);
  if (newestLayout(service).layoutEpoch === layoutEpoch) {
    throw new ChangeRejectedError('layoutEpoch', 'the newest layout cannot be dropped');
  }
  const layouts = service.layouts.filter((layout) => layout.layoutEpoch !== layoutEpoch);
  if (layouts.length === service.layouts.length) {
    throw new ChangeRejectedError('layoutEpoch', `${name} has no layout ${layoutEpoch}`);
  }
  return withService(state, { ...service, layouts });
}

function layoutOf(service: ServiceDefinition, layoutEpoch: number | undefined): ShardLayout {
  if (layoutEpoch === undefined) return newestLayout(service);
  const layout = service.layouts.find((known) => known.layoutEpoch === layoutEpoch);
  if (layout === undefined) {
    throw new ChangeRejectedError('layoutEpoch', `${service.name} has no layout ${layoutEpoch}`);
  }
  return layout;
}

export function addReplica(
  state: ConfigurationState,
  operation: OperationOf<'addReplica'>,
): ConfigurationState {
  const service = serviceOf(state, operation.service);
  const layout = layoutOf(service, operation.layoutEpoch);
  if (!layout.shards.some((shard) => shard.shardId === operation.shardId)) {
    const reason = `layout ${layout.layoutEpoch} has no shard ${operation.shardId}`;
    throw new ChangeRejectedError('shardId', reason);
  }
  const shards = layout.shards.map((shard) =>
    shard.shardId === operation.shardId
      ? { ...shard, replicas: [...shard.replicas, operation.replica] }
      : shard,
  );
  return withService(state, withLayout(service, { ...layout, shards }));
}

function withoutReplica(shard: ShardDefinition, replicaId: string): ShardDefinition {
  const replicas = shard.replicas.filter((replica) => replica.replicaId !== replicaId);
  return replicas.length === shard.replicas.length ? shard : { ...shard, replicas };
}

export function removeReplica(
  state: ConfigurationState,
  operation: OperationOf<'removeReplica'>,
): ConfigurationState {
  const service = serviceOf(state, operation.service);
  const chosen =
    operation.layoutEpoch === undefined
      ? service.layouts
      : [layoutOf(service, operation.layoutEpoch)];
  let found = false;
  let next = service;
  for (const layout of chosen) {
    const shards = layout.shards.map((shard) => withoutReplica(shard, operation.replicaId));
    found ||= shards.some((shard, index) => shard !== layout.shards[index]);
    next = withLayout(next, { ...layout, shards });
  }
  if (!found) {
    throw new ChangeRejectedError('replicaId', `there is no replica ${operation.replicaId}`);
  }
  return withService(state, next);
}
