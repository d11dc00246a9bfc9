import { describe, expect, it } from 'vitest';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { AutomaticGroup, SETTLE_MS, routeDocument } from './automatic-group.js';

/** From the loss of the machine to the loss of its successor's disk, or from the successor's start. */
const TIMES_MS = [0, 20, 60, 150, 250, 400, 700, 900, 1_300, 1_700, 2_500];
/** Time for which a machine is down when it loses its disk. */
const DOWN_TIMES_MS = [100, 1_500];

const cases = [0, 2].flatMap((lost) =>
  DOWN_TIMES_MS.flatMap((downMs) => TIMES_MS.map((afterMs) => ({ lost, downMs, afterMs }))),
);

async function startedGroup(): Promise<AutomaticGroup> {
  const group = await AutomaticGroup.start(3);
  expect((await group.putRoutes(group.machineAt(0), routeDocument(5))).status).toBe(200);
  return group;
}

async function loseDisk(
  group: AutomaticGroup,
  machine: SimulatedMachine,
  downMs: number,
): Promise<void> {
  machine.crash();
  await group.simulation.runFor(downMs);
  await group.restart(machine, false);
}

async function expectService(group: AutomaticGroup): Promise<void> {
  await group.simulation.runFor(SETTLE_MS);
  const running = group.machines.filter((machine) => machine.running);
  for (const machine of running) expect(await group.readRoutes(machine)).toBe(routeDocument(5));
  const [machine] = running;
  if (machine === undefined) return expect.fail('no controllers');
  expect((await group.putRoutes(machine, routeDocument(6))).status).toBe(200);
}

/** Starts machines at addresses of their own, and waits until the group has settled. */
async function addSuccessors(group: AutomaticGroup, count: number): Promise<void> {
  for (let added = 0; added < count; added += 1) await group.startOn(group.addMachine());
  await group.simulation.runFor(SETTLE_MS);
}

describe('a machine that replaces another one at its own address', () => {
  // Guards against a successor that raises the votes needed while the machine it replaces still counts.
  it.each(cases)(
    'may lose its disk $afterMs ms after its start (machine $lost lost, down for $downMs ms)',
    async ({ lost, downMs, afterMs }) => {
      const group = await startedGroup();
      group.machineAt(lost).crash({ power: true });
      const successor = group.addMachine();
      await group.startOn(successor);
      await group.simulation.runFor(afterMs);
      await loseDisk(group, successor, downMs);
      await expectService(group);
    },
  );

  // The same where the successor starts first, as in a planned replacement.
  it.each(cases)(
    'may lose its disk $afterMs ms after the other has gone (machine $lost, down for $downMs ms)',
    async ({ lost, downMs, afterMs }) => {
      const group = await startedGroup();
      await addSuccessors(group, 1);
      const successor = group.machineAt(3);
      group.machineAt(lost).crash({ power: true });
      await group.simulation.runFor(afterMs);
      await loseDisk(group, successor, downMs);
      await expectService(group);
    },
  );

  it.each([0, 1, 2])(
    'takes over when machine %i is stopped, and another disk is lost',
    async (stopped) => {
      const group = await startedGroup();
      await addSuccessors(group, 1);
      const machine = group.machineAt(stopped);
      const daemon = group.daemons.get(machine) ?? expect.fail('not running');
      await group.simulation.settle(daemon.stop());
      machine.crash();
      await loseDisk(group, group.machineAt((stopped + 1) % 3), 100);
      await expectService(group);
    },
  );

  it('lets a group of three with two successors lose two machines at once', async () => {
    const group = await startedGroup();
    await addSuccessors(group, 2);
    for (const index of [0, 1]) group.machineAt(index).crash({ power: true });
    await expectService(group);
  });
});
