import { describe, expect, it } from 'vitest';
import { RaftCluster } from './support/raft-cluster.js';

const IDS = ['a', 'b', 'c'];

describe('election and replication', () => {
  it('elects one leader and applies proposals of any member everywhere', async () => {
    const cluster = await RaftCluster.started(1, IDS);
    for (let number = 0; number < 12; number += 1) {
      const id = IDS[number % IDS.length] ?? '';
      expect(await cluster.propose(id, `command-${number}`)).toBe(
        `${number + 1}:command-${number}`,
      );
    }
    await cluster.converge();
    for (const id of IDS) expect(cluster.commandsOf(id)).toHaveLength(12);
    expect(cluster.violations).toEqual([]);
  });
});

describe('a group that starts as a whole', () => {
  it('elects soon also when its members do not reach each other at first', async () => {
    const timings = { firstElectionPart: 0.25 };
    const delays: number[] = [];
    for (let seed = 1; seed <= 12; seed += 1) {
      const cluster = await RaftCluster.started(seed, IDS, { timings });
      for (const id of IDS) cluster.crash(id);
      const cut = cluster.simulation.cut({});
      for (const id of IDS) await cluster.start(id);
      // Longer than the first wait of each, whose pre-vote then finds nobody.
      await cluster.runFor(700);
      cluster.simulation.heal(cut);
      const healedAt = cluster.simulation.now;
      await cluster.leader();
      delays.push(cluster.simulation.now - healedAt);
    }
    // Two waits of a fourth of the longest election timeout, and the votes.
    expect(Math.max(...delays)).toBeLessThan(1_200);
  });
});

// Guards against dials that are given up and begun anew in each round of votes, so that busy members
// elect nobody for seconds after the loss of all.
describe('a group that starts as a whole while its members are busy', () => {
  const EIGHT_IDS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
  const timings = {
    electionTimeoutMinimum: 400,
    electionTimeoutMaximum: 800,
    firstElectionPart: 0.25,
  };

  it.each([1, 2, 3, 4, 5])(
    'elects within two seconds when a handshake takes longer than a round of votes (seed %i)',
    async (seed) => {
      const cluster = await RaftCluster.started(seed, EIGHT_IDS, { timings });
      for (const id of EIGHT_IDS) cluster.losePower(id);
      cluster.handshakeMs = 450;
      for (const id of EIGHT_IDS) await cluster.start(id);
      const startedAt = cluster.simulation.now;
      await cluster.leader();
      expect(cluster.simulation.now - startedAt).toBeLessThan(2_000);
    },
  );
});
