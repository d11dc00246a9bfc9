import { describe, expect, it } from 'vitest';
import type { RaftFaults } from '../../src/consensus/raft-faults.js';
import { prepareDisk } from './support/prepared-disk.js';
import { RaftCluster } from './support/raft-cluster.js';

const IDS = ['a', 'b', 'c', 'd', 'e'];
const QUICK = { electionTimeoutMinimum: 200, electionTimeoutMaximum: 250 };
const SLOW = { electionTimeoutMinimum: 5_000, electionTimeoutMaximum: 6_000 };

/**
 * The case of figure 8 of the Raft paper: "a" leads term 4 and brings a record
 * of term 2 to a majority, and then dies before any record of its own term got
 * there; "e", whose last record is of term 3, may still win and replace it.
 */
async function bringOldRecordToMajority(faults: RaftFaults): Promise<RaftCluster> {
  const cluster = new RaftCluster(1, IDS, {
    faults,
    limits: { maximumAppendBytes: 1 },
    timingsOf: { a: QUICK, b: SLOW, c: SLOW, d: SLOW, e: QUICK },
  });
  const shared = [{ term: 1 }];
  const old = [...shared, { term: 2, command: 'old' }];
  await prepareDisk(cluster, 'a', 3, old);
  await prepareDisk(cluster, 'b', 3, old);
  await prepareDisk(cluster, 'c', 3, shared);
  await prepareDisk(cluster, 'd', 3, shared);
  await prepareDisk(cluster, 'e', 3, [...shared, { term: 3, command: 'other' }]);
  cluster.links.cut('a', 'd', false);
  for (const id of ['a', 'b', 'c']) await cluster.start(id);
  const copied = await cluster.runUntil(() => cluster.node('c').status().lastIndex === 2, 2_000);
  expect(copied).toBe(true);
  cluster.simulation.cut({ from: { machine: 'a' } });
  await cluster.runFor(100);
  cluster.crash('a');
  cluster.links.heal();
  for (const id of ['d', 'e']) await cluster.start(id);
  await cluster.leader(['b', 'c', 'd', 'e']);
  await cluster.converge(['b', 'c', 'd', 'e']);
  return cluster;
}

describe('records of earlier terms', () => {
  it('are not committed by counting copies', async () => {
    const cluster = await bringOldRecordToMajority({});
    expect(cluster.violations).toEqual([]);
    expect(cluster.commandsOf('b')).toEqual(['other']);
  });

  it('would be lost after being applied if they were', async () => {
    const cluster = await bringOldRecordToMajority({ commitOldTermEntries: true });
    expect(cluster.violations).not.toEqual([]);
  });
});
