/** Controllers whose disk fails for a while stay in their process and keep what they acknowledged. */
import { describe, expect, it } from 'vitest';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import type { Logger } from '../../src/observability/logger.js';
import { AutomaticGroup, SETTLE_MS, routeDocument } from './automatic-group.js';

const FAULT_MS = 30_000;

/** Fails the test when the process on one of the machines would have ended. */
async function expectNoEnd({ supervisors }: AutomaticGroup): Promise<void> {
  for (const { failure } of supervisors.values()) {
    const ended = await Promise.race([failure, Promise.resolve(undefined)]);
    expect(ended?.message).toBeUndefined();
  }
}

/** Proposes a document; 0 stands for no response. */
function statusOfPut(
  group: AutomaticGroup,
  machine: SimulatedMachine,
  document: string,
): Promise<number> {
  return group.putRoutes(machine, document).then(
    ({ status }) => status,
    () => 0,
  );
}

describe.each(['failWrites', 'failSyncs'] as const)('a disk on which %s', (fault) => {
  it('costs one controller its service until it passes, and nothing that was acknowledged', async () => {
    const group = await AutomaticGroup.start(3, 11, { supervised: true });
    const [first, second, third] = group.machines;
    if (first === undefined || second === undefined || third === undefined) expect.fail();
    expect((await group.putRoutes(first, routeDocument(1))).status).toBe(200);
    first.volume.faults[fault] = true;
    // The leader's disk may be the one that fails: whether this change is taken is not known then.
    await statusOfPut(group, second, routeDocument(2));
    await group.simulation.runFor(FAULT_MS);
    expect(await statusOfPut(group, second, routeDocument(3))).toBe(200);
    await expectNoEnd(group);

    first.volume.faults[fault] = false;
    await group.simulation.runFor(SETTLE_MS);
    expect(await group.readRoutes(first)).toBe(routeDocument(3));
    // Of three voters, the one whose disk had failed is needed now.
    third.crash();
    await group.simulation.runFor(SETTLE_MS);
    expect((await group.putRoutes(first, routeDocument(4))).status).toBe(200);
    await expectNoEnd(group);
  });

  it('of all controllers lets no change be taken until it passes', async () => {
    const group = await AutomaticGroup.start(3, 12, { supervised: true });
    const first = group.machineAt(0);
    expect((await group.putRoutes(first, routeDocument(1))).status).toBe(200);
    for (const { volume } of group.machines) volume.faults[fault] = true;
    for (const machine of group.machines) {
      expect(await statusOfPut(group, machine, routeDocument(2))).not.toBe(200);
    }
    await group.simulation.runFor(FAULT_MS);
    await expectNoEnd(group);

    for (const { volume } of group.machines) volume.faults[fault] = false;
    await group.simulation.runFor(SETTLE_MS);
    for (const machine of group.machines) {
      expect([routeDocument(1), routeDocument(2)]).toContain(await group.readRoutes(machine));
    }
    expect((await group.putRoutes(first, routeDocument(3))).status).toBe(200);
    await expectNoEnd(group);
  });
});

it('a controller whose disk fails when it starts waits for it', async () => {
  const group = await AutomaticGroup.start(3, 13, { supervised: true });
  const machine = group.machineAt(2);
  machine.restart({ keepDisk: true });
  machine.volume.faults.failWrites = true;
  const starting = group.startOn(machine);
  machine.environment.clock.setTimer(FAULT_MS, () => (machine.volume.faults.failWrites = false));
  await starting;
  await group.simulation.runFor(SETTLE_MS);
  expect((await group.putRoutes(machine, routeDocument(1))).status).toBe(200);
});

it('a controller that was removed while it was cut off joins as a new member in its process', async () => {
  const lines: string[] = [];
  const note = (message: string): void => void lines.push(message);
  const logger: Logger = { info: note, warn: note, error: note, child: () => logger };
  const group = await AutomaticGroup.start(3, 14, { supervised: true, logger });
  const machine = group.machineAt(2);
  machine.crash();
  await group.startOn(group.addMachine());
  await group.simulation.runFor(SETTLE_MS);
  await group.restart(machine, true);
  await group.simulation.runFor(SETTLE_MS);
  expect(lines).toContain('data folder discarded');
  await expectNoEnd(group);
  expect((await group.putRoutes(machine, routeDocument(8))).status).toBe(200);
});
