import { Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';
import { Backend } from '../../lab/backend/backend.js';
import { DEFAULT_BACKEND_OPTIONS } from '../../lab/backend/backend-options.js';
import { BackendLedger } from '../../lab/ledger/backend-ledger.js';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { routerConfigurationSchema } from '../../src/configuration/router-configuration.js';
import { ControlStreamClient } from '../../src/control-stream/control-stream-client.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { RouterDaemon } from '../../src/router/router-daemon.js';
import type { Operation } from '../../src/settings/change.js';
import {
  CLUSTER,
  ControllerGroup,
  HTTP_CLIENT_OPTIONS,
  IN_FORCE_WITHIN_MS,
} from './controller-group.js';

const ZONE = 'nayoro';
const PORT = 8_000;
const REFUSING = 'kifu-audit';
const SERVING = 'receipt-desk';

/**
 * Starts the backend of a service with one replica, and returns the operation that creates the
 * service.
 */
async function createService(group: ControllerGroup, name: string): Promise<Operation> {
  const host = group.simulation.createMachine(`${name}-replica`, ZONE);
  const { environment } = host;
  const starting = Backend.start(environment, {
    ...DEFAULT_BACKEND_OPTIONS,
    address: { host: host.host, port: PORT },
    replicaId: `${name}-0`,
    service: name,
    shardIds: ['s0'],
    ledger: new BackendLedger(environment.clock),
  });
  await group.simulation.settle(starting);
  const replica = {
    replicaId: `${name}-0`,
    address: `${host.host}:${PORT}`,
    zone: ZONE,
    slots: DEFAULT_BACKEND_OPTIONS.slots,
    connections: DEFAULT_BACKEND_OPTIONS.connections,
  };
  const layouts = [{ layoutEpoch: 1, shards: [{ shardId: 's0', replicas: [replica] }] }];
  const service = { name, kind: 'sharded' as const, region: 'dohoku', layouts };
  return { type: 'createService', service };
}

async function startRouter(group: ControllerGroup): Promise<SimulatedMachine> {
  const host = group.simulation.createMachine('router-1', ZONE);
  const configuration = routerConfigurationSchema.parse({
    name: host.name,
    region: 'dohoku',
    zone: ZONE,
    cluster: CLUSTER,
    listen: { http: `${host.host}:${PORT}` },
    controllers: group.endpoints.map(({ address, ...endpoint }) => ({
      ...endpoint,
      address: `${address.host}:${address.port}`,
    })),
  });
  const telemetry = { logger: SILENT_LOGGER, registry: new Registry() };
  const { environment } = host;
  const source = ControlStreamClient.start(environment, configuration, telemetry);
  const starting = RouterDaemon.start(environment, configuration, source, telemetry);
  await group.simulation.settle(starting);
  return host;
}

async function query(group: ControllerGroup, router: SimulatedMachine, service: string) {
  const address = { host: router.host, port: PORT };
  const client = group.operator.environment.network.httpClient(address, HTTP_CLIENT_OPTIONS);
  const requesting = client.request({
    method: 'POST',
    path: `/v1/services/${service}/query`,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ requestId: `request-${group.simulation.now}`, query: {} }),
  });
  const { body } = await group.simulation.settle(requesting);
  return JSON.parse(Buffer.from(body).toString('utf8')) as unknown;
}

describe('a router that reaches only stale controllers', () => {
  it('refuses queries as not run, or serves them marked as stale, as set for each service', async () => {
    const group = await ControllerGroup.start();
    await group.acceptOperations(0, 1, [
      { type: 'createRegion', region: 'dohoku', zones: ['asahikawa-a', 'nayoro', 'wakkanai'] },
      await createService(group, REFUSING),
      await createService(group, SERVING),
      { type: 'set', scope: `service/${SERVING}`, key: 'staleSettings', value: 'serve' },
    ]);
    const router = await startRouter(group);
    await group.simulation.runFor(IN_FORCE_WITHIN_MS);
    const fresh = { settingsRevision: 1, coverage: { fraction: 1 } };
    expect(await query(group, router, REFUSING)).toMatchObject(fresh);
    expect(await query(group, router, SERVING)).not.toHaveProperty('settingsStale');
    group.cutZone(ZONE);
    await group.simulation.runFor(IN_FORCE_WITHIN_MS);
    const refusal = { code: 'refused_not_run', mayHaveRun: false };
    expect(await query(group, router, REFUSING)).toMatchObject({ error: refusal });
    expect(await query(group, router, SERVING)).toMatchObject({ ...fresh, settingsStale: true });
    group.simulation.healAll();
    await group.simulation.runFor(IN_FORCE_WITHIN_MS);
    expect(await query(group, router, REFUSING)).toMatchObject(fresh);
    expect(await query(group, router, SERVING)).not.toHaveProperty('settingsStale');
  });
});
