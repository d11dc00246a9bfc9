/** Child process that holds a router's real registry of replicas, with its polls and connections. */
import { ReplicaRegistry } from '../../src/membership/replica-registry.js';
import type { ReplicaDefinition } from '../../src/model/service-definition.js';
import { createNodeEnvironment } from '../../src/node/node-environment.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { NO_ROUTER_FAULTS } from '../../src/router/router-faults.js';
import { serveOperations } from '../measure/child-operations.js';
import { readProcessUsage, type ProcessUsage } from '../measure/process-usage.js';

const MAXIMUM_REPLY_BYTES = 4_194_304;

const registry = new ReplicaRegistry(createNodeEnvironment(), {
  observer: 'router-1',
  maximumReplyBytes: MAXIMUM_REPLY_BYTES,
  logger: SILENT_LOGGER,
  faults: NO_ROUTER_FAULTS,
});
let known: readonly string[] = [];

/** Makes the registry hold exactly these replicas, and waits until each was asked once. */
async function hold(definitions: readonly ReplicaDefinition[]): Promise<void> {
  known = definitions.map(({ replicaId }) => replicaId);
  registry.synchronize(
    new Map(definitions.map((definition) => [definition.replicaId, definition])),
  );
  await registry.firstReports();
}

/** Replicas whose reports do not arrive. */
function countSuspect(): number {
  return known.filter((replicaId) => registry.get(replicaId)?.isSuspect !== false).length;
}

const operations = {
  hold,
  countSuspect,
  usage: (collect: boolean): ProcessUsage => readProcessUsage(collect),
};
export type RegistryChildOperations = typeof operations;

serveOperations(operations);
