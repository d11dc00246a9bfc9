import { describe, expect, it } from 'vitest';
import { Simulation } from '../../../lab/simulation/simulation.js';
import type { SimulatedMachine } from '../../../lab/simulation/simulated-machine.js';
import { bodyText } from './support.js';

const SEEDS = Array.from({ length: 40 }, (_, index) => index + 1);

async function contentAfterCrash(
  seed: number,
  write: (machine: SimulatedMachine) => Promise<void>,
  path: string,
): Promise<string | undefined> {
  const simulation = new Simulation(seed);
  const machine = simulation.createMachine('a', 'north');
  await simulation.settle(write(machine));
  machine.crash();
  const { disk } = machine.restart({ keepDisk: true });
  const content = await simulation.settle(disk.read(path));
  return content === undefined ? undefined : bodyText(content);
}

async function outcomes(
  write: (machine: SimulatedMachine) => Promise<void>,
  path: string,
): Promise<Set<string | undefined>> {
  const seen = new Set<string | undefined>();
  for (const seed of SEEDS) seen.add(await contentAfterCrash(seed, write, path));
  return seen;
}

async function writeDurably({ environment: { disk } }: SimulatedMachine): Promise<void> {
  const file = await disk.openAppend('log');
  await file.append(Buffer.from('synced'));
  await file.sync();
  await disk.syncDirectory('.');
}

describe('simulated disk', () => {
  it('keeps what was synced and tears the rest at a crash', async () => {
    const seen = await outcomes(async (machine) => {
      await writeDurably(machine);
      const file = await machine.environment.disk.openAppend('log');
      await file.append(Buffer.from('-unsynced'));
    }, 'log');
    expect([...seen].every((content) => content?.startsWith('synced'))).toBe(true);
    expect(seen.size).toBeGreaterThan(5);
  });

  it('may lose a synced file whose folder was not synced', async () => {
    const seen = await outcomes(async ({ environment: { disk } }) => {
      await disk.writeAndSync('state', Buffer.from('all'));
    }, 'state');
    expect(seen).toEqual(new Set([undefined, 'all']));
  });

  it('shows either the old or the new content after a rename without a folder sync', async () => {
    const seen = await outcomes(async ({ environment: { disk } }) => {
      await disk.writeAndSync('state', Buffer.from('old'));
      await disk.syncDirectory('.');
      await disk.writeAndSync('state.new', Buffer.from('new'));
      await disk.rename('state.new', 'state');
    }, 'state');
    expect(seen).toEqual(new Set(['old', 'new']));
  });

  it('may bring back what an unsynced truncation cut off', async () => {
    const seen = await outcomes(async (machine) => {
      await writeDurably(machine);
      const file = await machine.environment.disk.openAppend('log');
      await file.truncate(2);
    }, 'log');
    expect(seen).toEqual(new Set(['sy', 'synced']));
  });

  it('loses what a failed sync covered, even when a later sync succeeds', async () => {
    const content = await contentAfterCrash(
      1,
      async (machine) => {
        await writeDurably(machine);
        const file = await machine.environment.disk.openAppend('log');
        await file.append(Buffer.from('-lost'));
        machine.volume.faults.failSyncs = true;
        await expect(file.sync()).rejects.toThrow('sync: log: EIO');
        machine.volume.faults.failSyncs = false;
        await file.sync();
      },
      'log',
    );
    expect(content).toBe('synced\0\0\0\0\0');
  });

  it('fails writes on a full disk, flips one bit on request, and starts empty when replaced', async () => {
    const simulation = new Simulation(1);
    const machine = simulation.createMachine('a', 'north');
    await simulation.settle(writeDurably(machine));
    machine.volume.faults.failWrites = true;
    await expect(
      simulation.settle(machine.environment.disk.writeAndSync('b', Buffer.from('x'))),
    ).rejects.toThrow('ENOSPC');
    expect(machine.volume.corrupt()).toBe('log');
    const content = await simulation.settle(machine.environment.disk.read('log'));
    expect(bodyText(content ?? new Uint8Array())).not.toBe('synced');
    machine.crash();
    const { disk } = machine.restart({ keepDisk: false });
    expect(await simulation.settle(disk.list('.'))).toEqual([]);
  });

  it('never settles an operation that a crash interrupted', async () => {
    const simulation = new Simulation(1);
    const machine = simulation.createMachine('a', 'north');
    let settled = false;
    void machine.environment.disk.list('.').finally(() => {
      settled = true;
    });
    machine.crash();
    await simulation.runFor(1_000);
    expect(settled).toBe(false);
  });
});
