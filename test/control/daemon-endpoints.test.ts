import { Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';
import { daemonMetrics, type RegisteredMetric } from '../../lab/documentation/daemon-metrics.js';
import { METRIC_ALARMS } from '../../lab/documentation/metric-alarms.js';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { routerConfigurationSchema } from '../../src/configuration/router-configuration.js';
import { ControlStreamClient } from '../../src/control-stream/control-stream-client.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { RouterDaemon } from '../../src/router/router-daemon.js';
import type { HttpClientResponse } from '../../src/seams/http.js';
import { CLUSTER, ControllerGroup, ELECTION_MS, HTTP_PORT, ZONES } from './controller-group.js';

const CLIENT_OPTIONS = {
  connections: 1,
  maximumResponseBytes: 1_048_576,
  connectTimeout: 1_000,
  keepAliveTimeout: 1_000,
};

/** Sends a GET request without a token, as health checks do. */
async function get(
  group: ControllerGroup,
  { host }: SimulatedMachine,
  path: string,
): Promise<HttpClientResponse & { readonly text: string }> {
  const { network } = group.operator.environment;
  const client = network.httpClient({ host, port: HTTP_PORT }, CLIENT_OPTIONS);
  const requesting = client.request({ method: 'GET', path, headers: {} });
  const response = await group.simulation.settle(requesting);
  await group.simulation.settle(client.close());
  return { ...response, text: Buffer.from(response.body).toString('utf8') };
}

async function expectMetrics(
  group: ControllerGroup,
  machine: SimulatedMachine,
  metrics: readonly RegisteredMetric[],
): Promise<string> {
  const { status, headers, text } = await get(group, machine, '/metrics');
  expect(status).toBe(200);
  expect(headers['content-type']).toMatch(/^text\/plain; version=/);
  expect(metrics.length).toBeGreaterThan(10);
  for (const { name, type, help } of metrics) {
    expect(text).toContain(`# TYPE ${name} ${type}\n`);
    expect(help).toMatch(/^[A-Z1].*/);
  }
  return text;
}

async function startRouter(group: ControllerGroup): Promise<SimulatedMachine> {
  const machine = group.simulation.createMachine('router-1', 'nayoro');
  const { environment } = machine;
  const configuration = routerConfigurationSchema.parse({
    name: 'router-1',
    region: 'dohoku',
    zone: 'nayoro',
    cluster: CLUSTER,
    listen: { http: `${machine.host}:${HTTP_PORT}` },
    controllers: group.endpoints.map(({ address, ...endpoint }) => ({
      ...endpoint,
      address: `${address.host}:${address.port}`,
    })),
  });
  const telemetry = { logger: SILENT_LOGGER, registry: new Registry() };
  const source = ControlStreamClient.start(environment, configuration, telemetry);
  const starting = RouterDaemon.start(environment, configuration, source, telemetry);
  await group.simulation.settle(starting);
  return machine;
}

describe('health check and metrics endpoints', () => {
  it('of a controller report quorum, revision and daemons', async () => {
    const group = await ControllerGroup.start();
    const host = group.hostAt(0);
    await group.accept(0, 1);
    group.startDaemon('router-9', host.zone);
    await group.simulation.runFor(ELECTION_MS);
    expect(await get(group, host, '/livez')).toMatchObject({ status: 200 });
    expect(await get(group, host, '/readyz')).toMatchObject({ status: 200 });
    const text = await expectMetrics(group, host, (await daemonMetrics()).controller);
    expect(text).toMatch(/^driftway_configuration_revision 1$/m);
    expect(text).toMatch(/^driftway_daemons\{state="in_force"\} 1$/m);
    expect(text).toMatch(/^driftway_quorum_age_seconds 0?\.?\d+$/m);
    for (const zone of ZONES.slice(1)) group.cutZone(zone);
    await group.simulation.runFor(ELECTION_MS);
    const ready = await get(group, host, '/readyz');
    expect([ready.status, ready.text]).toEqual([503, expect.stringContaining('no quorum')]);
    expect(await get(group, host, '/livez')).toMatchObject({ status: 200 });
    const age = /^driftway_quorum_age_seconds (\S+)$/m.exec(
      (await get(group, host, '/metrics')).text,
    );
    expect(Number(age?.[1])).toBeGreaterThan(5);
  });

  it('of a router report whether it has a configuration', async () => {
    const group = await ControllerGroup.start();
    for (const zone of ZONES) group.simulation.cut({ from: { zone }, to: { machine: 'router-1' } });
    const router = await startRouter(group);
    expect(await get(group, router, '/livez')).toMatchObject({ status: 200 });
    const early = await get(group, router, '/readyz');
    expect([early.status, early.text]).toEqual([503, 'no_configuration\n']);
    group.simulation.healAll();
    await group.accept(0, 1);
    await group.simulation.runFor(ELECTION_MS);
    expect(await get(group, router, '/readyz')).toMatchObject({ status: 200 });
    const text = await expectMetrics(group, router, (await daemonMetrics()).router);
    expect(text).toMatch(/^driftway_configuration_revision 1$/m);
  });
});

describe('the metrics reference', () => {
  it('names only registered metrics in its alarms', async () => {
    const { controller, router } = await daemonMetrics();
    const known = new Set([...controller, ...router].map(({ name }) => name));
    for (const { expression } of METRIC_ALARMS) {
      const named = expression.match(/driftway_\w+/g) ?? [];
      expect(named.length, expression).toBeGreaterThan(0);
      for (const name of named) expect(known, expression).toContain(name);
    }
  });
});
