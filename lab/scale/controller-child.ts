/** Child process that runs one real controller on a data folder of its own. */
import { readdir, stat } from 'node:fs/promises';
import { join } from 'node:path';
import { Registry } from 'prom-client';
import { controllerConfigurationSchema } from '../../src/configuration/controller-configuration.js';
import { ControllerDaemon } from '../../src/control/controller-daemon.js';
import { createDurableNodeEnvironment } from '../../src/node/node-environment.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { serveOperations } from '../measure/child-operations.js';
import { readProcessUsage, type ProcessUsage } from '../measure/process-usage.js';
import type { ControllerFile } from './cluster-files.js';
import { CountedNetwork, type MessageCounts } from './counted-network.js';

const network = new CountedNetwork();
const registry = new Registry();
let dataFolder = '';

async function start(file: ControllerFile): Promise<void> {
  const configuration = controllerConfigurationSchema.parse(file);
  dataFolder = configuration.dataFolder;
  const environment = { ...createDurableNodeEnvironment(dataFolder), network };
  await ControllerDaemon.start(environment, configuration, { logger: SILENT_LOGGER, registry });
}

/** Bytes in one folder of the data folder; 0 before it exists. */
async function folderBytes(name: string): Promise<number> {
  const folder = join(dataFolder, name);
  const names = await readdir(folder).catch(() => []);
  const sizes = await Promise.all(names.map(async (file) => (await stat(join(folder, file))).size));
  return sizes.reduce((total, size) => total + size, 0);
}

async function readMetric(name: string): Promise<number> {
  const metric = await registry.getSingleMetric(name)?.get();
  return (metric?.values ?? []).reduce((total, { value }) => total + value, 0);
}

const operations = {
  start,
  usage: (collect: boolean): ProcessUsage => readProcessUsage(collect),
  counts: (): MessageCounts => ({ ...network.counts }),
  logBytes: (): Promise<number> => folderBytes('log'),
  logSyncs: (): Promise<number> => readMetric('driftway_consensus_log_syncs_total'),
};
export type ControllerChildOperations = typeof operations;

serveOperations(operations);
