import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import {
  DirectoryKind,
  FORGET_AFTER_MS,
  INCARNATION_SILENCE_MS,
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
  it('keeps a replica that has left gone when a late heartbeat arrives', () => {
    const directory = new ReplicaDirectory(clock, DirectoryKind.ReceivesHeartbeats);
    directory.report(entry({ sequence: 4 }));
    directory.leave('i-1');
    directory.report(entry({ sequence: 9 }));
    expect(directory.find('i-1')?.state).toBe(RegisteredState.Gone);
  });

  it('records the leaving of a replica that never registered here', () => {
    const directory = new ReplicaDirectory(clock, DirectoryKind.ReceivesHeartbeats);
    directory.leave('i-1');
    directory.report(entry());
    expect(directory.find('i-1')?.state).toBe(RegisteredState.Gone);
  });

  it('reaches the same entry whatever the order of the reports', () => {
    const reports = fc.array(
      fc.record({
        sequence: fc.integer({ min: 1, max: 5 }),
        state: fc.constantFrom(...Object.values(RegisteredState)),
        bornAt: fc.integer({ min: 1, max: 3 }),
      }),
      { minLength: 1, maxLength: 8 },
    );
    const stateAfter = (list: readonly Partial<ReplicaEntry>[]): string | undefined => {
      const directory = new ReplicaDirectory(clock, DirectoryKind.ReceivesHeartbeats);
      for (const report of list) directory.report(entry(report));
      const known = directory.find('i-1');
      return `${known?.state} ${known?.sequence} ${known?.bornAt}`;
    };
    fc.assert(
      fc.property(reports, (list) => {
        expect(stateAfter([...list].reverse())).toBe(stateAfter(list));
      }),
      { seed: 5 },
    );
  });

  it('returns changes to readers, but not each heartbeat', () => {
    const directory = new ReplicaDirectory(clock, DirectoryKind.ReceivesHeartbeats);
    directory.report(entry());
    const { position } = directory;
    expect(directory.report(entry({ sequence: 2 }))).toBe(false);
    expect(directory.changedAfter(position)).toEqual([]);
    expect(directory.report(entry({ sequence: 3, state: RegisteredState.Draining }))).toBe(true);
    expect(directory.changedAfter(position)).toHaveLength(1);
  });

  it('forgets a replica after a long time without a report or heartbeat', async () => {
    const directory = new ReplicaDirectory(clock, DirectoryKind.ReceivesHeartbeats);
    directory.report(entry());
    directory.report(entry({ replicaId: 'i-2' }));
    await simulation.runFor(FORGET_AFTER_MS - 1_000);
    directory.recordHeartbeat('i-2');
    await simulation.runFor(2_000);
    directory.forgetSilent();
    expect([...directory.all()].map(({ replicaId }) => replicaId)).toEqual(['i-2']);
  });
});

describe('ReplicaDirectory with a replica that restarts under the same id', () => {
  const FIRST = { bornAt: 1_000, sequence: 900 };
  const SECOND = { bornAt: 2_000, sequence: 1, address: '10.0.0.2:80' };

  function directoryWith(first: Partial<ReplicaEntry>): ReplicaDirectory {
    const directory = new ReplicaDirectory(clock, DirectoryKind.ReceivesHeartbeats);
    directory.reportDirectly(entry(first));
    return directory;
  }

  it('replaces an earlier incarnation by a later one, whatever the state of the earlier one', () => {
    for (const state of Object.values(RegisteredState)) {
      const directory = directoryWith({ ...FIRST, state });
      expect(directory.reportDirectly(entry(SECOND))).toEqual({ isCurrent: true, isNews: true });
      expect(directory.find('i-1')).toEqual(entry(SECOND));
    }
  });

  it('accepts a new incarnation after the earlier one has left', () => {
    const directory = directoryWith(FIRST);
    directory.leave('i-1');
    directory.reportDirectly(entry({ ...FIRST, sequence: 905 }));
    expect(directory.find('i-1')?.state).toBe(RegisteredState.Gone);
    directory.reportDirectly(entry(SECOND));
    expect(directory.find('i-1')?.state).toBe(RegisteredState.Ready);
  });

  it('ignores a late report of an earlier incarnation, which does not count as heard either', async () => {
    const directory = directoryWith(SECOND);
    const heardAt = directory.lastHeardAt('i-1');
    await simulation.runFor(1_000);
    const late = entry({ ...FIRST, state: RegisteredState.Draining });
    expect(directory.reportDirectly(late)).toEqual({ isCurrent: false, isNews: false });
    expect(directory.report(late)).toBe(false);
    expect(directory.find('i-1')).toEqual(entry(SECOND));
    expect(directory.lastHeardAt('i-1')).toBe(heardAt);
  });

  it('accepts a new incarnation with an earlier start time once the known one has been silent', async () => {
    const directory = directoryWith(SECOND);
    const setBack = entry({ bornAt: 1_500, sequence: 1 });
    expect(directory.reportDirectly(setBack).isCurrent).toBe(false);
    await simulation.runFor(INCARNATION_SILENCE_MS + 1);
    expect(directory.reportDirectly(setBack)).toEqual({ isCurrent: true, isNews: true });
    expect(directory.find('i-1')).toEqual({ ...setBack, generation: 1 });
    directory.reportDirectly(entry({ bornAt: 1_500, sequence: 2 }));
    expect(directory.find('i-1')).toMatchObject({ ...setBack, sequence: 2, generation: 1 });
    directory.report(entry(SECOND));
    expect(directory.find('i-1')?.bornAt).toBe(1_500);
  });

  it('accepts the current incarnation at once after a late report was taken for a later incarnation', async () => {
    const directory = directoryWith(SECOND);
    await simulation.runFor(INCARNATION_SILENCE_MS + 1);
    directory.reportDirectly(entry(FIRST));
    expect(directory.find('i-1')?.bornAt).toBe(FIRST.bornAt);
    directory.reportDirectly(entry({ ...SECOND, sequence: 7 }));
    expect(directory.find('i-1')).toEqual(entry({ ...SECOND, sequence: 7, generation: 1 }));
  });

  it('accepts a new incarnation after a leaving of unknown incarnation, once another report identifies that incarnation', () => {
    const directory = new ReplicaDirectory(clock, DirectoryKind.ReceivesHeartbeats);
    directory.leave('i-1');
    directory.reportDirectly(entry({ sequence: 4 }));
    expect(directory.find('i-1')?.state).toBe(RegisteredState.Gone);
    directory.report(entry(FIRST));
    expect(directory.find('i-1')).toMatchObject({ state: RegisteredState.Gone, bornAt: 1_000 });
    directory.reportDirectly(entry(SECOND));
    expect(directory.find('i-1')?.state).toBe(RegisteredState.Ready);
  });

  it('accepts a new incarnation after a leaving of unknown incarnation, once that leaving is forgotten', async () => {
    const directory = new ReplicaDirectory(clock, DirectoryKind.ReceivesHeartbeats);
    directory.leave('i-1');
    await simulation.runFor(FORGET_AFTER_MS + 1);
    directory.forgetSilent();
    directory.reportDirectly(entry(SECOND));
    expect(directory.find('i-1')?.state).toBe(RegisteredState.Ready);
  });

  it('applies a leaving reported by a controller that does not know the raised generation', () => {
    const raised = { ...SECOND, generation: 1 };
    for (const state of [RegisteredState.Draining, RegisteredState.Gone]) {
      const directory = new ReplicaDirectory(clock, DirectoryKind.ReceivesChanges);
      directory.report(entry(raised));
      const other = new ReplicaDirectory(clock, DirectoryKind.ReceivesHeartbeats);
      if (state === RegisteredState.Gone) other.leave('i-1');
      else other.reportDirectly(entry({ ...SECOND, sequence: 2, state }));
      for (const report of other.all()) directory.report(report);
      expect(directory.find('i-1')).toMatchObject({ state, generation: 1 });
      for (const report of directory.all()) other.report(report);
      expect(other.find('i-1')).toMatchObject({ state, generation: 1 });
    }
  });

  it('reaches the same entry in two directories that exchange their entries, whatever the order of the reports', () => {
    const reports = fc.array(
      fc.record({
        sequence: fc.integer({ min: 1, max: 5 }),
        state: fc.constantFrom(...Object.values(RegisteredState)),
        bornAt: fc.integer({ min: 1, max: 3 }),
        generation: fc.integer({ min: 0, max: 1 }),
      }),
      { minLength: 1, maxLength: 8 },
    );
    const describeEntry = (directory: ReplicaDirectory): string => {
      const { state, sequence, bornAt, generation = 0 } = directory.find('i-1') ?? entry();
      return `${state} ${sequence} ${bornAt} ${generation}`;
    };
    const directoryAfter = (list: readonly Partial<ReplicaEntry>[]): ReplicaDirectory => {
      const directory = new ReplicaDirectory(clock, DirectoryKind.ReceivesHeartbeats);
      for (const report of list) directory.report(entry(report));
      return directory;
    };
    fc.assert(
      fc.property(reports, (list) => {
        const [left, right] = [directoryAfter(list), directoryAfter([...list].reverse())];
        for (const report of [...right.all()]) left.report(report);
        for (const report of [...left.all()]) right.report(report);
        expect(describeEntry(left)).toBe(describeEntry(right));
      }),
      { seed: 6, numRuns: 1_000 },
    );
  });
});
