import { describe, expect, it } from 'vitest';
import { ProposalOutcomeUnknownError } from '../../src/consensus/consensus-errors.js';
import { RaftCluster } from './support/raft-cluster.js';

const IDS = ['a', 'b', 'c'];
const MINUTES = 60_000;

function isolate(cluster: RaftCluster, id: string): void {
  for (const other of IDS) cluster.network.cut(id, other);
}

describe('a leader cut off in silence', () => {
  it('steps down, acknowledges nothing, and takes over the others history when healed', async () => {
    const cluster = await RaftCluster.started(3, IDS);
    const { clock } = cluster;
    const oldLeader = await cluster.leader();
    const others = IDS.filter((id) => id !== oldLeader);
    await cluster.propose(oldLeader, 'before');
    isolate(cluster, oldLeader);
    const outcomes: unknown[] = [];
    for (let number = 0; number < 5; number += 1) {
      const proposal = cluster.node(oldLeader).propose(Buffer.from(`cut-off-${number}`));
      proposal.then(
        () => outcomes.push('acknowledged'),
        (error: unknown) => outcomes.push(error),
      );
    }
    await clock.advance(1_200);
    expect(cluster.node(oldLeader).status().role).not.toBe('leader');
    const newLeader = await cluster.leader(others);
    for (let number = 0; number < 20; number += 1) {
      await cluster.propose(newLeader, `after-${number}`);
    }
    await clock.advance(3 * MINUTES);
    expect(outcomes).toHaveLength(5);
    for (const outcome of outcomes) expect(outcome).toBeInstanceOf(ProposalOutcomeUnknownError);
    expect(cluster.node(oldLeader).status().sinceQuorumMs).toBeGreaterThan(3 * MINUTES);
    const termBefore = cluster.node(newLeader).status().term;
    cluster.network.heal();
    await cluster.clock.advance(5_000);
    await cluster.converge();
    // Its absence must not cost the others their leader (pre-vote).
    expect(cluster.node(newLeader).status()).toMatchObject({ role: 'leader', term: termBefore });
    expect(cluster.commandsOf(oldLeader)).toEqual(cluster.commandsOf(newLeader));
    expect(cluster.commandsOf(oldLeader)).toHaveLength(21);
    expect(cluster.violations).toEqual([]);
  });

  it('proposes again, once, what another record took the place of', async () => {
    const cluster = await RaftCluster.started(4, IDS);
    const oldLeader = await cluster.leader();
    const others = IDS.filter((id) => id !== oldLeader);
    isolate(cluster, oldLeader);
    const replaced = cluster.propose(oldLeader, 'replaced');
    const newLeader = await cluster.leader(others);
    await cluster.propose(newLeader, 'kept');
    cluster.network.heal();
    expect(await replaced).toBe('2:replaced');
    await cluster.converge();
    expect(cluster.commandsOf(newLeader)).toEqual(['kept', 'replaced']);
  });

  it.each([
    { name: 'never reads from its old state', skipReadConfirmation: false, stale: false },
    { name: 'would, without the confirmation', skipReadConfirmation: true, stale: true },
  ])('$name while its clock lags', async ({ skipReadConfirmation, stale }) => {
    const slowClock = { electionTimeoutMinimum: 30_000, electionTimeoutMaximum: 31_000 };
    const quick = { electionTimeoutMinimum: 300, electionTimeoutMaximum: 600 };
    const cluster = new RaftCluster(5, IDS, {
      faults: { skipReadConfirmation },
      timingsOf: { a: { ...slowClock, readTimeout: 2_000 }, b: quick, c: quick },
    });
    for (const id of IDS) await cluster.clock.run(cluster.start(id));
    while ((await cluster.leader()) !== 'a') {
      const leader = cluster.node(await cluster.leader());
      // "a" is the only one that may be asked to stand: the other is unreachable.
      const other = leader.status().memberId === 'b' ? 'c' : 'b';
      cluster.network.cut(leader.status().memberId, other);
      await cluster.clock.advance(400);
      const id = leader.status().memberId;
      await cluster.clock.run(leader.close());
      cluster.network.heal();
      await cluster.clock.run(cluster.start(id));
      await cluster.clock.advance(500);
    }
    isolate(cluster, 'a');
    const newLeader = await cluster.leader(['b', 'c']);
    await cluster.propose(newLeader, 'newer');
    expect(cluster.node('a').status().role).toBe('leader');
    const read = cluster.clock.run(cluster.node('a').readBarrier());
    const answered = await read.then(
      () => true,
      () => false,
    );
    expect(answered && !cluster.commandsOf('a').includes('newer')).toBe(stale);
  });
});
