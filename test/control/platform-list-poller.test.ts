import { Registry } from 'prom-client';
import { expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { PlatformListPoller } from '../../src/control/platform-list-poller.js';
import { NO_CONTROL_STREAM_FAULTS } from '../../src/control-stream/control-stream-faults.js';
import { LivenessReportTable } from '../../src/control-stream/liveness-report-table.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { UnusableEntries } from '../../src/observability/unusable-entries.js';

const PORT = 7700;
const LISTEN_OPTIONS = {
  maximumBodyBytes: 1_000,
  maximumHeaderBytes: 8_192,
  requestTimeout: 1_000,
  maximumConnections: 10,
};

it('PlatformListPoller records the valid items of a list that also contains unusable items', async () => {
  const simulation = new Simulation(5);
  const platform = simulation.createMachine('platform', 'outside');
  const { environment } = simulation.createMachine('controller', 'a');
  const items = [
    { replicaId: 'i-1', incarnation: 1, state: 'draining' },
    { replicaId: 'i-2', incarnation: 1, state: 'asleep' },
    { replicaId: 'i-3', state: 'gone' },
    'nothing',
    null,
    { replicaId: 'i-4', incarnation: 2 ** 60, state: 'gone' },
    { replicaId: 'i-5', incarnation: 3, state: 'gone' },
  ];
  const { network } = platform.environment;
  const response = { status: 200, body: JSON.stringify(items) };
  await simulation.settle(
    network.listenHttp({ host: platform.host, port: PORT }, LISTEN_OPTIONS, () =>
      Promise.resolve(response),
    ),
  );
  const telemetry = { logger: SILENT_LOGGER, registry: new Registry() };
  const livenessReports = new LivenessReportTable(NO_CONTROL_STREAM_FAULTS);
  const unusable = new UnusableEntries({ clock: environment.clock, ...telemetry });
  const address = { host: platform.host, port: PORT };
  let notifications = 0;
  const onNewReports = (): void => {
    notifications += 1;
  };
  const poller = new PlatformListPoller(
    environment,
    address,
    livenessReports,
    onNewReports,
    unusable,
    telemetry,
  );
  await simulation.runFor(500);
  expect(notifications).toBe(1);
  expect(livenessReports.position).toBe(2);
  const counted = await telemetry.registry
    .getSingleMetric('driftway_unusable_entries_total')
    ?.get();
  expect(counted?.values.map(({ labels, value }) => [labels['reason'], value])).toEqual([
    ['unknown_state', 1],
    ['bad_field', 4],
  ]);
  await simulation.settle(poller.stop());
});
