import { Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import {
  DirectoryKind,
  ReplicaDirectory,
  RESTORED_RETENTION_MS,
} from '../../src/directory/replica-directory.js';
import { RegisteredState, type ReplicaEntry } from '../../src/directory/replica-entry.js';
import {
  restoreReplicas,
  storeReplicas,
  type ReplicaStoreParts,
} from '../../src/directory/replica-store.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { UnusableEntries } from '../../src/observability/unusable-entries.js';
import { GatewayHarness } from '../gateway/gateway-harness.js';

/** Longer than the store takes to write changes. Milliseconds. */
const WRITE_DELAY_MS = 1_000;

function entry(replicaId: string, state = RegisteredState.Ready): ReplicaEntry {
  const place = { service: 'ledger', address: '10.0.0.1:80', zone: 'a' };
  return { replicaId, ...place, capacity: 2, state, sequence: 3, warmupMs: 900 };
}

/** Stores `entries` on a disk, cuts the power, and returns the directory after the restart. */
async function restoreAfterPowerLoss(
  simulation: Simulation,
  entries: readonly ReplicaEntry[],
  runForMs = WRITE_DELAY_MS,
): Promise<ReplicaDirectory> {
  const machine = simulation.createMachine('controller', 'a');
  const stopped = new AbortController().signal;
  const partsOf = (directory: ReplicaDirectory): ReplicaStoreParts => {
    const { clock, disk } = machine.environment;
    const telemetry = { logger: SILENT_LOGGER, registry: new Registry() };
    const unusable = new UnusableEntries({ clock, ...telemetry });
    return { clock, disk, directory, unusable, logger: SILENT_LOGGER, stopped };
  };
  const before = new ReplicaDirectory(machine.environment.clock, DirectoryKind.ReceivesHeartbeats);
  void storeReplicas(partsOf(before));
  for (const each of entries) before.report(each);
  await simulation.runFor(runForMs);
  machine.crash({ power: true });
  machine.restart({ keepDisk: true });
  const after = new ReplicaDirectory(machine.environment.clock, DirectoryKind.ReceivesHeartbeats);
  await simulation.settle(restoreReplicas(partsOf(after)));
  return after;
}

describe('replicas stored on a controller disk', () => {
  it('are restored after a loss of power, and marked as restored', async () => {
    const directory = await restoreAfterPowerLoss(new Simulation(3), [entry('i-1')]);
    expect(directory.find('i-1')).toMatchObject({ service: 'ledger', restored: true, warmupMs: 0 });
  });

  it('are restored with their incarnation and generation', async () => {
    const restarted = { ...entry('i-1'), bornAt: 1_790_000_000_000, generation: 2 };
    const directory = await restoreAfterPowerLoss(new Simulation(3), [restarted]);
    expect(directory.find('i-1')).toMatchObject({ bornAt: restarted.bornAt, generation: 2 });
  });

  it('are soon forgotten without a heartbeat, unless they are leaving', async () => {
    const simulation = new Simulation(3);
    const leaving = entry('i-2', RegisteredState.Draining);
    const directory = await restoreAfterPowerLoss(simulation, [
      entry('i-1'),
      leaving,
      entry('i-3'),
    ]);
    await simulation.runFor(RESTORED_RETENTION_MS - 100);
    directory.recordHeartbeat('i-3');
    await simulation.runFor(200);
    directory.forgetSilent();
    expect([...directory.all()].map(({ replicaId }) => replicaId)).toEqual(['i-2', 'i-3']);
    expect(directory.find('i-3')?.restored).toBe(false);
  });

  it('stay gone after a restart when a late heartbeat arrives', async () => {
    const leaving = entry('i-1', RegisteredState.Gone);
    const directory = await restoreAfterPowerLoss(new Simulation(3), [leaving]);
    directory.report({ ...entry('i-1'), sequence: 9 });
    expect(directory.find('i-1')?.state).toBe(RegisteredState.Gone);
  });

  it('are no longer stored once they are silent', async () => {
    const simulation = new Simulation(3);
    const directory = await restoreAfterPowerLoss(simulation, [entry('i-1')], 9_000);
    expect([...directory.all()]).toEqual([]);
  });

  it('let gateways serve requests before the next heartbeats arrive', async () => {
    const harness = await GatewayHarness.start();
    await harness.addReplica('ledger', 'whole');
    await harness.putRoutes([{ pathPrefix: '/ledger/', service: 'ledger' }]);
    harness.losePower();
    for (const { name } of harness.group.machines) {
      harness.simulation.cut({ from: { machine: 'ledger-1' }, to: { machine: name } });
    }
    await harness.restartControllers();
    await harness.restartGateway();
    await harness.simulation.runFor(2_500);
    expect((await harness.call({ path: '/ledger/1' })).status).toBe(200);
  });
});
