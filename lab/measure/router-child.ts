/** Child process that runs one real router over a configuration that never changes. */
import { Registry } from 'prom-client';
import { routerConfigurationSchema } from '../../src/configuration/router-configuration.js';
import { createNodeEnvironment } from '../../src/node/node-environment.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { RouterDaemon } from '../../src/router/router-daemon.js';
import type { ConfigurationState } from '../../src/settings/configuration-state.js';
import { serveOperations } from './child-operations.js';
import { FixedConfigurationSource } from './fixed-configuration-source.js';
import { MEASURED_REGION, MEASURED_ZONE } from './measured-service.js';
import { readProcessUsage, type ProcessUsage } from './process-usage.js';

const registry = new Registry();
let router: RouterDaemon | undefined;

/** Starts the router and returns its port once it is ready. */
async function start(state: ConfigurationState): Promise<number> {
  const configuration = routerConfigurationSchema.parse({
    name: 'router-1',
    region: MEASURED_REGION,
    zone: MEASURED_ZONE,
    cluster: { id: 'measured', key: 'a-key-for-measuring' },
    listen: { http: '127.0.0.1:0' },
    controllers: [{ memberId: 'controller-1', address: '127.0.0.1:1', zone: MEASURED_ZONE }],
  });
  router = await RouterDaemon.start(
    createNodeEnvironment(),
    configuration,
    new FixedConfigurationSource(state),
    { logger: SILENT_LOGGER, registry },
  );
  return router.address.port;
}

/** Requests sent to back ends so far, polls of reports not counted. */
async function attempts(): Promise<number> {
  const metric = await registry.getSingleMetric('driftway_router_attempts_total')?.get();
  return (metric?.values ?? []).reduce((total, { value }) => total + value, 0);
}

const operations = {
  start,
  attempts,
  usage: (collect: boolean): ProcessUsage => readProcessUsage(collect),
  stop: async (): Promise<void> => router?.stop(),
};
export type RouterChildOperations = typeof operations;

serveOperations(operations);
