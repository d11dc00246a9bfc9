import { beforeEach, describe, expect, it } from 'vitest';
import {
  ControllerGroup,
  ELECTION_MS,
  IN_FORCE_WITHIN_MS,
  ZONES,
  type GroupDaemon,
} from './controller-group.js';

const CHECK_INTERVAL_MS = 100;

let group: ControllerGroup;
/** One daemon in each zone. */
let daemons: GroupDaemon[];

beforeEach(async () => {
  group = await ControllerGroup.start();
  daemons = ZONES.map((zone, index) => group.startDaemon(`router-${index + 1}`, zone));
  await group.simulation.runFor(IN_FORCE_WITHIN_MS);
});

function daemonAt(index: number): GroupDaemon {
  return daemons[index] ?? expect.fail(`no daemon ${index}`);
}

/** Advances the simulation; whether every daemon's configuration was fresh at each check. */
async function areFreshThroughout(milliseconds: number): Promise<boolean> {
  let fresh = true;
  for (let passed = 0; passed < milliseconds; passed += CHECK_INTERVAL_MS) {
    await group.simulation.runFor(CHECK_INTERVAL_MS);
    fresh &&= daemons.every((daemon) => daemon.fresh);
  }
  return fresh;
}

describe('a change accepted while a zone is partitioned', () => {
  it.each([0, 1, 2])(
    'is in force there within seconds after the partition of zone %i heals',
    async (cut) => {
      const others = [0, 1, 2].filter((index) => index !== cut);
      group.cutZone(ZONES[cut] as string);
      await group.simulation.runFor(ELECTION_MS);
      await group.accept(others[0] as number, 1);
      await group.simulation.runFor(IN_FORCE_WITHIN_MS);
      expect(others.map((index) => daemonAt(index).revision)).toEqual([1, 1]);
      expect(daemonAt(cut).revision).toBe(0);
      expect(daemonAt(cut).fresh).toBe(false);
      const report = await group.changeReport(others[0] as number, 1);
      expect(report.force?.late.map(({ name }) => name)).toEqual([`router-${cut + 1}`]);
      group.simulation.healAll();
      await group.simulation.runFor(IN_FORCE_WITHIN_MS);
      expect(daemonAt(cut).revisions).toEqual([0, 1]);
      expect(daemonAt(cut).fresh).toBe(true);
      for (const index of ZONES.keys()) {
        expect((await group.changeReport(index, 1)).force).toMatchObject({ inForce: 3, late: [] });
      }
    },
  );

  it('is in force there within seconds after a partition of an hour heals', async () => {
    group.cutZone('nayoro');
    await group.simulation.runFor(ELECTION_MS);
    await group.accept(0, 1);
    await group.simulation.runFor(3_600_000);
    group.simulation.healAll();
    await group.simulation.runFor(IN_FORCE_WITHIN_MS);
    expect(daemonAt(1).revisions).toEqual([0, 1]);
  });

  it('is not reverted by the partitioned zone, whose own change was refused', async () => {
    group.cutZone('nayoro');
    await group.simulation.runFor(ELECTION_MS);
    await expect(group.accept(1, 1)).rejects.toThrow(/unavailable|outcome_unknown/);
    await group.accept(0, 1);
    group.simulation.healAll();
    await group.simulation.runFor(IN_FORCE_WITHIN_MS);
    expect(daemons.map(({ revisions }) => revisions)).toEqual(Array(3).fill([0, 1]));
    const states = daemons.map(({ client }) => client.current());
    expect(states).toEqual(Array(3).fill(daemonAt(0).client.current()));
  });
});

describe('controllers that restart', () => {
  it('leave no daemon stale and accept changes when they stop as planned, one after the other', async () => {
    for (const index of ZONES.keys()) {
      const stopping = (group.controllers[index] ?? expect.fail('no controller')).stop();
      expect(await areFreshThroughout(5_000)).toBe(true);
      await group.simulation.settle(stopping);
      group.hostAt(index).restart({ keepDisk: true });
      await group.startController(index);
      expect(await areFreshThroughout(ELECTION_MS)).toBe(true);
      await group.accept(index, index + 1);
      await group.simulation.runFor(IN_FORCE_WITHIN_MS);
    }
    expect(daemons.map(({ revisions }) => revisions)).toEqual(Array(3).fill([0, 1, 2, 3]));
  });

  it('keep every daemon on the accepted revision when they are killed one after the other', async () => {
    for (const index of ZONES.keys()) {
      await group.accept((index + 1) % ZONES.length, index + 1);
      group.hostAt(index).restart({ keepDisk: true });
      await group.startController(index);
      await group.simulation.runFor(ELECTION_MS + IN_FORCE_WITHIN_MS);
    }
    expect(daemons.map(({ revisions }) => revisions)).toEqual(Array(3).fill([0, 1, 2, 3]));
    expect(daemons.every(({ fresh }) => fresh)).toBe(true);
  });

  it('serve and track every daemon again after all of them lost power at once', async () => {
    await group.accept(0, 1);
    for (const host of group.hosts) host.crash({ power: true });
    await group.simulation.runFor(60_000);
    expect(daemons.map(({ fresh }) => fresh)).toEqual([false, false, false]);
    for (const host of group.hosts) host.restart({ keepDisk: true });
    for (const index of ZONES.keys()) await group.startController(index);
    await group.simulation.runFor(ELECTION_MS);
    await group.accept(1, 2);
    await group.simulation.runFor(IN_FORCE_WITHIN_MS);
    expect(daemons.map(({ revisions }) => revisions)).toEqual(Array(3).fill([0, 1, 2]));
    expect(daemons.every(({ fresh }) => fresh)).toBe(true);
    for (const index of ZONES.keys()) {
      expect((await group.changeReport(index, 2)).force).toMatchObject({ daemons: 3, inForce: 3 });
    }
  });
});
