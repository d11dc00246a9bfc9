import { describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { DirectoryKind, ReplicaDirectory } from '../../src/directory/replica-directory.js';
import { RegisteredState, type ReplicaEntry } from '../../src/directory/replica-entry.js';
import { AddressCheckResult, type ContestedAddress } from '../../src/gateway/address-claims.js';
import { ServiceTargets } from '../../src/gateway/service-targets.js';

const ADDRESS = '10.0.0.1:80';

function entry(replicaId: string, changes: Partial<ReplicaEntry> = {}): ReplicaEntry {
  return {
    replicaId,
    service: 'ledger',
    address: ADDRESS,
    zone: 'a',
    capacity: 2,
    state: RegisteredState.Ready,
    sequence: 1,
    warmupMs: 0,
    ...changes,
  };
}

function create(): {
  directory: ReplicaDirectory;
  targets: ServiceTargets;
  simulation: Simulation;
  now: () => number;
} {
  const simulation = new Simulation(3);
  const { environment } = simulation.createMachine('gateway', 'a');
  const directory = new ReplicaDirectory(environment.clock, DirectoryKind.ReceivesChanges);
  return {
    directory,
    targets: new ServiceTargets(environment, directory),
    simulation,
    now: () => environment.clock.now(),
  };
}

function idsOf(targets: ServiceTargets, service = 'ledger'): string[] {
  return targets.of(service).map((target) => target.entry.replicaId);
}

describe('an address that another replica takes over', () => {
  it('belongs to the replica that registered last, whatever is reported of the other', () => {
    const { directory, targets } = create();
    directory.report(entry('old'));
    directory.report(entry('new'));
    expect(idsOf(targets)).toEqual(['new']);
    directory.report(entry('old', { sequence: 9, capacity: 3 }));
    expect(idsOf(targets)).toEqual(['new']);
    expect(targets.size).toBe(1);
  });

  it('is given back when the replica there identifies itself as the earlier one', () => {
    const { directory, targets } = create();
    directory.report(entry('alive'));
    directory.report(entry('outdated registration', { service: 'other' }));
    expect(idsOf(targets)).toEqual([]);
    const [dead] = targets.of('other');
    if (dead === undefined) return expect.fail('no target');
    targets.markReplaced(dead);
    expect(idsOf(targets)).toEqual(['alive']);
  });

  it('stays with the later replica when the earlier one leaves', () => {
    const { directory, targets } = create();
    directory.report(entry('old'));
    directory.report(entry('new'));
    directory.leave('old');
    expect(idsOf(targets)).toEqual(['new']);
    directory.leave('new');
    expect(idsOf(targets)).toEqual([]);
    expect(targets.size).toBe(0);
  });
});

describe('an address that several replicas claim', () => {
  function contestOf(targets: ServiceTargets): ContestedAddress {
    const [contest] = targets.contestedAddresses();
    return contest ?? expect.fail('no contested address');
  }

  it('is given back to the replica that a check found there, whichever registered since', () => {
    const { directory, targets } = create();
    directory.report(entry('alive'));
    directory.report(entry('outdated 1', { service: 'other' }));
    directory.report(entry('outdated 2', { service: 'third' }));
    const result = targets.decideAddress(contestOf(targets), 'alive');
    expect(result).toBe(AddressCheckResult.GivenBack);
    expect(idsOf(targets)).toEqual(['alive']);
    expect(idsOf(targets, 'other')).toEqual([]);
    expect([...targets.contestedAddresses()]).toEqual([]);
  });

  it('is not decided by a check that another registration has overtaken', () => {
    const { directory, targets } = create();
    directory.report(entry('first'));
    directory.report(entry('second', { service: 'other' }));
    const contest = contestOf(targets);
    directory.report(entry('third', { service: 'third' }));
    expect(targets.decideAddress(contest, 'first')).toBe(AddressCheckResult.Undecided);
    expect(idsOf(targets)).toEqual([]);
    expect(idsOf(targets, 'third')).toEqual(['third']);
  });

  it('stays contested after a response without an id, or with that of an unknown replica', () => {
    const { directory, targets } = create();
    directory.report(entry('first'));
    directory.report(entry('second', { service: 'other' }));
    const contest = contestOf(targets);
    for (const replicaId of [undefined, 'unknown']) {
      expect(targets.decideAddress(contest, replicaId)).toBe(AddressCheckResult.Undecided);
    }
    expect(contestOf(targets)).toBe(contest);
    expect(idsOf(targets, 'other')).toEqual(['second']);
  });

  it('is confirmed by an answer of its holder only', () => {
    const { directory, targets } = create();
    directory.report(entry('first'));
    const [first] = targets.of('ledger');
    directory.report(entry('second', { service: 'other' }));
    const [second] = targets.of('other');
    if (first === undefined || second === undefined) return expect.fail('no target');
    targets.confirmAddress(first);
    expect(contestOf(targets).holder).toBe(second);
    targets.confirmAddress(second);
    expect([...targets.contestedAddresses()]).toEqual([]);
    expect(idsOf(targets)).toEqual([]);
  });

  it('is not contested by replicas that have left', () => {
    const { directory, targets } = create();
    directory.report(entry('first'));
    directory.report(entry('second', { service: 'other' }));
    directory.leave('first');
    expect([...targets.contestedAddresses()]).toEqual([]);
  });
});

describe('a replica that reports a warmup time', () => {
  it('is cold from its start, and again when it turns cold later', async () => {
    const { directory, targets, simulation, now } = create();
    const startedAt = now();
    directory.report(entry('i', { warmupMs: 2_000 }));
    const [target] = targets.of('ledger');
    expect(target?.coldUntil).toBe(startedAt + 2_000);
    await simulation.runFor(5_000);
    directory.report(entry('i', { sequence: 2, warmupMs: 0 }));
    directory.report(entry('i', { sequence: 3, warmupMs: 3_000 }));
    expect(target?.coldUntil).toBe(startedAt + 8_000);
  });
});
