import { describe, expect, it } from 'vitest';
import { ProposalOutcomeUnknownError } from '../../src/consensus/consensus-errors.js';
import { RaftCluster } from './support/raft-cluster.js';

const IDS = ['a', 'b', 'c'];
const MINUTES = 60_000;
const PAUSE = 10_000;

describe('a leader cut off in silence', () => {
  it('steps down, acknowledges nothing, and takes over the others history when healed', async () => {
    const cluster = await RaftCluster.started(3, IDS);
    const oldLeader = await cluster.leader();
    const others = IDS.filter((id) => id !== oldLeader);
    await cluster.propose(oldLeader, 'before');
    cluster.links.isolate(oldLeader);
    const outcomes: unknown[] = [];
    for (let number = 0; number < 5; number += 1) {
      const proposal = cluster.node(oldLeader).propose(Buffer.from(`cut-off-${number}`));
      proposal.then(
        () => outcomes.push('acknowledged'),
        (error: unknown) => outcomes.push(error),
      );
    }
    await cluster.runFor(1_200);
    expect(cluster.node(oldLeader).status().role).not.toBe('leader');
    const newLeader = await cluster.leader(others);
    for (let number = 0; number < 20; number += 1) {
      await cluster.propose(newLeader, `after-${number}`);
    }
    await cluster.runFor(3 * MINUTES);
    expect(outcomes).toHaveLength(5);
    for (const outcome of outcomes) expect(outcome).toBeInstanceOf(ProposalOutcomeUnknownError);
    expect(cluster.node(oldLeader).status().sinceQuorumMs).toBeGreaterThan(3 * MINUTES);
    const termBefore = cluster.node(newLeader).status().term;
    cluster.links.heal();
    await cluster.runFor(5_000);
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
    cluster.links.isolate(oldLeader);
    const replaced = cluster.node(oldLeader).propose(Buffer.from('replaced'));
    const newLeader = await cluster.leader(others);
    await cluster.propose(newLeader, 'kept');
    cluster.links.heal();
    const { result } = await cluster.simulation.settle(replaced);
    expect(Buffer.from(result).toString()).toBe('2:replaced');
    await cluster.converge();
    expect(cluster.commandsOf(newLeader)).toEqual(['kept', 'replaced']);
  });

  it.each([
    { name: 'never reads from its old state', skipReadConfirmation: false, stale: false },
    { name: 'would, without the confirmation', skipReadConfirmation: true, stale: true },
  ])('$name after a pause of its process', async ({ skipReadConfirmation, stale }) => {
    const cluster = await RaftCluster.started(5, IDS, { faults: { skipReadConfirmation } });
    const paused = await cluster.leader();
    const others = IDS.filter((id) => id !== paused);
    cluster.member(paused).machine.freeze(PAUSE);
    const newLeader = await cluster.leader(others);
    await cluster.propose(newLeader, 'newer');
    // The first thing it does when it goes on, before any timer of its own.
    expect(cluster.node(paused).status().role).toBe('leader');
    const read = cluster.simulation.settle(cluster.node(paused).readBarrier());
    const answered = await read.then(
      () => true,
      () => false,
    );
    expect(answered && !cluster.commandsOf(paused).includes('newer')).toBe(stale);
  });
});
