import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import {
  DirectoryKind,
  FORGET_AFTER_MS,
  ReplicaDirectory,
} from '../../src/directory/replica-directory.js';
import { RegisteredState, type ReplicaEntry } from '../../src/directory/replica-entry.js';

function entry(changes: Partial<ReplicaEntry> = {}): ReplicaEntry {
  return {
    replicaId: 'i-1',
    service: 'ledger',
    address: '10.0.0.1:80',
    zone: 'a',
    capacity: 2,
    state: RegisteredState.Ready,
    sequence: 1,
    warmupMs: 0,
    ...changes,
  };
}

const simulation = new Simulation(3);
const { clock } = simulation.createMachine('controller', 'a').environment;

describe('ReplicaDirectory', () => {
  it('never lets a late heartbeat bring back a replica that has left', () => {
    const directory = new ReplicaDirectory(clock, DirectoryKind.HearsHeartbeats);
    directory.report(entry({ sequence: 4 }));
    directory.leave('i-1');
    directory.report(entry({ sequence: 9 }));
    expect(directory.find('i-1')?.state).toBe(RegisteredState.Gone);
  });

  it('knows that a replica left also when it never registered here', () => {
    const directory = new ReplicaDirectory(clock, DirectoryKind.HearsHeartbeats);
    directory.leave('i-1');
    directory.report(entry());
    expect(directory.find('i-1')?.state).toBe(RegisteredState.Gone);
  });

  it('holds the same whatever the order in which reports come', () => {
    const reports = fc.array(
      fc.record({
        sequence: fc.integer({ min: 1, max: 5 }),
        state: fc.constantFrom(...Object.values(RegisteredState)),
      }),
      { minLength: 1, maxLength: 8 },
    );
    const stateAfter = (list: readonly Partial<ReplicaEntry>[]): string | undefined => {
      const directory = new ReplicaDirectory(clock, DirectoryKind.HearsHeartbeats);
      for (const report of list) directory.report(entry(report));
      const known = directory.find('i-1');
      return `${known?.state} ${known?.sequence}`;
    };
    fc.assert(
      fc.property(reports, (list) => {
        expect(stateAfter([...list].reverse())).toBe(stateAfter(list));
      }),
      { seed: 5 },
    );
  });

  it('tells readers of changes, not of each heartbeat', () => {
    const directory = new ReplicaDirectory(clock, DirectoryKind.HearsHeartbeats);
    directory.report(entry());
    const { position } = directory;
    expect(directory.report(entry({ sequence: 2 }))).toBe(false);
    expect(directory.changedAfter(position)).toEqual([]);
    expect(directory.report(entry({ sequence: 3, state: RegisteredState.Draining }))).toBe(true);
    expect(directory.changedAfter(position)).toHaveLength(1);
  });

  it('forgets what was not heard of for long', async () => {
    const directory = new ReplicaDirectory(clock, DirectoryKind.HearsHeartbeats);
    directory.report(entry());
    directory.report(entry({ replicaId: 'i-2' }));
    await simulation.runFor(FORGET_AFTER_MS - 1_000);
    directory.noteHeard('i-2');
    await simulation.runFor(2_000);
    directory.forgetSilent();
    expect([...directory.all()].map(({ replicaId }) => replicaId)).toEqual(['i-2']);
  });
});
