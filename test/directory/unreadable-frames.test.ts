import { Registry } from 'prom-client';
import { expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { DirectoryClient } from '../../src/directory/directory-client.js';
import { DIRECTORY_CODEC, SubscriberKind } from '../../src/directory/directory-messages.js';
import { DirectoryKind, ReplicaDirectory } from '../../src/directory/replica-directory.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { UnusableEntries } from '../../src/observability/unusable-entries.js';
import { ZoneTraffic } from '../../src/observability/zone-traffic.js';
import { AuthenticatedListener } from '../../src/protocol/authenticated-listener.js';
import { dial } from '../../src/protocol/dial.js';
import { AutomaticGroup, CLUSTER, MESSAGE_PORT } from '../control/automatic-group.js';

const METRIC = 'driftway_unusable_entries_total';

async function countUnreadable(registry: Registry): Promise<number> {
  const reading = await registry.getSingleMetric(METRIC)?.get();
  const unreadable = reading?.values.filter(({ labels }) => labels['reason'] === 'unreadable');
  return (unreadable ?? []).reduce((sum, { value }) => sum + value, 0);
}

it('unreadable frames from a controller are counted and end the stream', async () => {
  const simulation = new Simulation(5);
  const controller = simulation.createMachine('controller', 'a');
  const { environment } = simulation.createMachine('gateway', 'a');
  const registry = new Registry();
  const identity = { clusterId: CLUSTER.id, clusterKey: CLUSTER.key };
  const address = { host: controller.host, port: MESSAGE_PORT };
  await simulation.settle(
    AuthenticatedListener.listen(
      controller.environment,
      address,
      { ...identity, name: 'controller' },
      { directory: (connection) => connection.send(Uint8Array.of(255)) },
      new Registry(),
    ),
  );
  const telemetry = { logger: SILENT_LOGGER, registry };
  const client = new DirectoryClient({
    environment,
    identity: { ...identity, name: 'gateway' },
    subscriberKind: SubscriberKind.Gateway,
    zone: 'a',
    directory: new ReplicaDirectory(environment.clock, DirectoryKind.ReceivesChanges),
    unusable: new UnusableEntries({ clock: environment.clock, ...telemetry }),
    traffic: new ZoneTraffic('a', registry),
    ...telemetry,
  });
  client.setSeeds([`${address.host}:${address.port}`]);
  await simulation.runFor(1_000);
  expect(await countUnreadable(registry)).toBeGreaterThan(0);
  expect(client.openLinks).toBe(0);
  await simulation.settle(client.stop());
});

it('unreadable frames from a subscriber are counted and end its stream', async () => {
  const group = await AutomaticGroup.start(1);
  const { simulation } = group;
  const { environment } = simulation.createMachine('stranger', 'nayoro');
  const identity = { clusterId: CLUSTER.id, clusterKey: CLUSTER.key, name: 'stranger' };
  const address = { host: group.machineAt(0).host, port: MESSAGE_PORT };
  const target = { address, role: 'directory', connectTimeout: 1_000 } as const;
  const subscription = DIRECTORY_CODEC.encode({
    kind: 'subscribe',
    subscriberKind: SubscriberKind.Gateway,
    zone: 'nayoro',
    gatherAddress: '',
  });
  for (const frames of [[Uint8Array.of(255)], [subscription, Uint8Array.of(255)]]) {
    const connection = await simulation.settle(dial(environment, identity, target));
    let isClosed = false;
    void connection.closed.then(() => (isClosed = true));
    for (const frame of frames) await simulation.settle(connection.send(frame));
    await simulation.runFor(500);
    expect(isClosed).toBe(true);
  }
  expect(await countUnreadable(group.registryOf(group.machineAt(0)))).toBe(2);
});
