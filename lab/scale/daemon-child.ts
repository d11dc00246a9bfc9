/**
 * Child process that holds hollow daemons: each is the control-stream client of
 * a real one with its own connection and its own copy of the configuration, and
 * has no query work.
 */
import { Registry } from 'prom-client';
import { controllerEndpointSchema } from '../../src/configuration/daemon-configuration.js';
import { ControlStreamClient } from '../../src/control-stream/control-stream-client.js';
import { observe } from '../../src/control-stream/observe.js';
import { createNodeEnvironment } from '../../src/node/node-environment.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { serveOperations } from '../measure/child-operations.js';
import { readProcessUsage, type ProcessUsage } from '../measure/process-usage.js';
import type { ClusterFiles } from './cluster-files.js';
import { CountedNetwork, type MessageCounts } from './counted-network.js';
import { zoneName } from './scale-configuration.js';
import { readSharedClock } from './shared-clock.js';

/** Which daemons to start; they are spread over the zones in turn. */
export interface StartDaemons {
  readonly firstIndex: number;
  readonly count: number;
  readonly zones: number;
  readonly files: Pick<ClusterFiles, 'cluster' | 'controllers'>;
}

/** When one revision came in force. */
export interface RevisionArrivals {
  readonly revision: number;
  /** One for each daemon, by the shared clock. Milliseconds. */
  readonly at: readonly number[];
}

const network = new CountedNetwork();
const environment = { ...createNodeEnvironment(), network };
const clients: ControlStreamClient[] = [];
let arrivals = new Map<number, number[]>();

function note(revision: number): void {
  const known = arrivals.get(revision);
  if (known === undefined) arrivals.set(revision, [readSharedClock()]);
  else known.push(readSharedClock());
}

function start({ firstIndex, count, zones, files }: StartDaemons): void {
  const controllers = files.controllers.map(({ memberId, zone, listen }) =>
    controllerEndpointSchema.parse({ memberId, zone, address: listen.messages }),
  );
  for (let index = firstIndex; index < firstIndex + count; index += 1) {
    const zone = zoneName(index % zones);
    const configuration = { name: `daemon-${index}`, zone, cluster: files.cluster, controllers };
    const telemetry = { logger: SILENT_LOGGER, registry: new Registry() };
    const client = ControlStreamClient.start(environment, configuration, telemetry);
    observe(client.revisions, ({ revision }) => note(revision));
    clients.push(client);
  }
}

/** Daemons at which `revision` or a later one is in force. */
function countAt(revision: number): number {
  return clients.filter((client) => (client.current()?.revision ?? -1) >= revision).length;
}

/** Arrivals since the last call. */
function takeArrivals(): RevisionArrivals[] {
  const taken = [...arrivals].map(([revision, at]) => ({ revision, at }));
  arrivals = new Map();
  return taken;
}

const operations = {
  start,
  countAt,
  takeArrivals,
  usage: (collect: boolean): ProcessUsage => readProcessUsage(collect),
  counts: (): MessageCounts => ({ ...network.counts }),
};
export type DaemonChildOperations = typeof operations;

serveOperations(operations);
