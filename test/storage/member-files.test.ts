import { beforeEach, describe, expect, it } from 'vitest';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { Simulation } from '../../lab/simulation/simulation.js';
import { DamagedStorageError } from '../../src/storage/damaged-storage-error.js';
import { HardStateStore, type HardState } from '../../src/storage/hard-state-store.js';
import { SnapshotStore, type StoredSnapshot } from '../../src/storage/snapshot-store.js';

let simulation: Simulation;
let machine: SimulatedMachine;

function hardState(term: number): HardState {
  return {
    clusterId: 'test',
    memberId: 'a',
    incarnation: 'disk-a',
    term,
    votedFor: `peer-${term}`,
  };
}

function snapshot(index: number): StoredSnapshot {
  const bytes = (text: string): Buffer => Buffer.from(`${text}-${index}`);
  return { index, term: 2, membership: bytes('members'), data: bytes('data') };
}

/** Flips a byte of a file. */
async function damage(path: string): Promise<void> {
  const { disk } = machine.environment;
  const bytes = Buffer.from((await simulation.settle(disk.read(path))) ?? expect.fail(path));
  bytes[bytes.length - 1] = (bytes.at(-1) ?? 0) ^ 1;
  await simulation.settle(disk.writeAndSync(path, bytes));
}

beforeEach(() => {
  simulation = new Simulation(2);
  machine = simulation.createMachine('a', 'nayoro');
});

describe('term and vote', () => {
  it('are on disk once saved, and else as before, wherever a crash comes', async () => {
    let saved = 0;
    let interrupted = 0;
    for (let term = 1; term <= 200; term += 1) {
      const store = new HardStateStore(machine.environment.disk);
      const saving = store.save(hardState(term)).then(() => {
        saved = term;
      });
      if (term % 2 === 0) await simulation.settle(saving);
      else await simulation.runFor(simulation.random.nextFloat() * 4);
      machine.restart({ keepDisk: true });
      const loading = new HardStateStore(machine.environment.disk).load();
      const loaded = await simulation.settle(loading);
      if (saved === term) expect(loaded).toEqual(hardState(term));
      else {
        interrupted += 1;
        expect([undefined, hardState(saved), hardState(term)]).toContainEqual(loaded);
        if (saved > 0) expect(loaded).toBeDefined();
      }
    }
    expect(interrupted).toBeGreaterThan(20);
  });

  it('stop the start when they are damaged', async () => {
    const store = new HardStateStore(machine.environment.disk);
    await simulation.settle(store.save(hardState(1)));
    await damage('hard-state');
    await expect(simulation.settle(store.load())).rejects.toMatchObject({
      path: 'hard-state',
      offset: 0,
    });
  });
});

describe('snapshots', () => {
  it('never fall back to an older one, wherever a crash comes', async () => {
    let saved = 0;
    for (let index = 1; index <= 100; index += 1) {
      const store = await simulation.settle(SnapshotStore.open(machine.environment.disk));
      const saving = store.save(snapshot(index)).then(() => {
        saved = index;
      });
      if (index % 2 === 0) await simulation.settle(saving);
      else await simulation.runFor(simulation.random.nextFloat() * 4);
      machine.restart({ keepDisk: true });
      const reopened = await simulation.settle(SnapshotStore.open(machine.environment.disk));
      const loaded = await simulation.settle(reopened.load());
      expect(loaded?.index ?? 0).toBeGreaterThanOrEqual(saved);
      if (loaded !== undefined) expect(loaded).toEqual(snapshot(loaded.index));
    }
  });

  it('stop the start when the newest is damaged', async () => {
    const store = await simulation.settle(SnapshotStore.open(machine.environment.disk));
    await simulation.settle(store.save(snapshot(7)));
    await damage('snapshots/0000000000000007.snapshot');
    await expect(simulation.settle(store.load())).rejects.toBeInstanceOf(DamagedStorageError);
  });
});
