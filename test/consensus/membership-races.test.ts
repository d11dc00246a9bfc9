import { describe, expect, it } from 'vitest';
import { MembershipChangeRefusedError } from '../../src/consensus/consensus-errors.js';
import { ErrorLabel } from '../../src/errors/driftway-error.js';
import { RaftCluster } from './support/raft-cluster.js';

const IDS = ['a', 'b', 'c'];

/** A group of three, its leader, and members that wait to be added. */
async function withJoiners(seed: number, joiners: readonly string[]) {
  const cluster = await RaftCluster.started(seed, IDS);
  for (const id of joiners) await cluster.start(id, { join: true });
  const leader = await cluster.leader(IDS);
  return { cluster, leader, follower: IDS.find((id) => id !== leader) ?? '' };
}

function outcomeOf(change: Promise<void>): Promise<unknown> {
  return change.then(
    () => 'done',
    (error: unknown) => error,
  );
}

describe('changes of members that race', () => {
  it('lets at most one be under way, and refuses the other as not run', async () => {
    const { cluster, leader, follower } = await withJoiners(1, ['d', 'e']);
    const changes = [
      outcomeOf(cluster.node(leader).addLearner('d', cluster.addressOf('d'))),
      outcomeOf(cluster.node(follower).addLearner('e', cluster.addressOf('e'))),
      outcomeOf(cluster.node(follower).remove(follower)),
    ];
    const outcomes = await cluster.simulation.settle(Promise.all(changes));
    const refused = outcomes.filter((outcome) => outcome !== 'done');
    expect(refused.length).toBeGreaterThan(0);
    for (const error of refused) {
      expect(error).toBeInstanceOf(MembershipChangeRefusedError);
      expect((error as MembershipChangeRefusedError).hasLabel(ErrorLabel.NotRun)).toBe(true);
    }
    const { members } = cluster.node(leader).status();
    const [addedFirst, addedSecond, removed] = outcomes.map((outcome) =>
      Number(outcome === 'done'),
    );
    const expected = IDS.length + (addedFirst ?? 0) + (addedSecond ?? 0) - (removed ?? 0);
    expect(members).toHaveLength(expected);
  });

  it('does not let a late addition of the same id undo a promotion', async () => {
    const { cluster, leader } = await withJoiners(2, ['d', 'e']);
    cluster.simulation.changeLink({ from: { machine: 'e' } }, { latency: 150 });
    const late = outcomeOf(cluster.node(leader).addLearner('d', cluster.addressOf('e')));
    // Now "e" has been told that nobody of the id "d" is known.
    await cluster.runFor(200);
    await cluster.simulation.settle(cluster.node(leader).addLearner('d', cluster.addressOf('d')));
    await cluster.simulation.settle(cluster.node(leader).promote('d'));
    expect(await cluster.simulation.settle(late)).toBeInstanceOf(MembershipChangeRefusedError);
    const { members } = cluster.node(leader).status();
    expect(members).toContainEqual(
      expect.objectContaining({ memberId: 'd', address: cluster.addressOf('d'), voter: true }),
    );
    await cluster.propose(leader, 'after');
    await cluster.converge([...IDS, 'd']);
  });

  it('does not bring a member back that was removed while it was being added again', async () => {
    const { cluster, leader } = await withJoiners(3, ['d']);
    await cluster.simulation.settle(cluster.node(leader).addLearner('d', cluster.addressOf('d')));
    cluster.simulation.changeLink({ to: { machine: 'd' } }, { latency: 150 });
    const late = outcomeOf(cluster.node(leader).addLearner('d', cluster.addressOf('d')));
    await cluster.simulation.settle(cluster.node(leader).remove('d'));
    expect(await cluster.simulation.settle(late)).toBeInstanceOf(MembershipChangeRefusedError);
    expect(cluster.node(leader).status().members).toHaveLength(IDS.length);
  });

  it('takes a resend of the same addition for what it is', async () => {
    const { cluster, leader } = await withJoiners(4, ['d']);
    for (let attempt = 0; attempt < 2; attempt += 1) {
      await cluster.simulation.settle(cluster.node(leader).addLearner('d', cluster.addressOf('d')));
    }
    expect(cluster.node(leader).status().members).toHaveLength(IDS.length + 1);
  });

  it('refuses a member that has a history of its own', async () => {
    const { cluster, leader } = await withJoiners(5, []);
    await cluster.start('x', { initialIds: ['x'] });
    await cluster.runUntil(() => cluster.node('x').status().role === 'leader', 10_000);
    const adding = outcomeOf(cluster.node(leader).addLearner('x', cluster.addressOf('x')));
    const refusal = await cluster.simulation.settle(adding);
    expect(refusal).toBeInstanceOf(MembershipChangeRefusedError);
    expect(String(refusal)).toContain('history already');
  });

  it.each(['leader', 'follower'])(
    'tells a wrong change from an untimely one at a %s',
    async (at) => {
      const { cluster, leader, follower } = await withJoiners(7, []);
      const node = cluster.node(at === 'leader' ? leader : follower);
      const refusal = await cluster.simulation.settle(outcomeOf(node.remove('nobody')));
      expect(refusal).toMatchObject({ message: 'change membership: "nobody" is no member' });
      expect((refusal as MembershipChangeRefusedError).hasLabel(ErrorLabel.BadInput)).toBe(true);
    },
  );

  // Guards against a joiner that keeps records of an addition that was never committed, and is refused for good.
  it('leaves a joiner free to be added again when the first addition is taken back', async () => {
    const { cluster, leader } = await withJoiners(8, ['d']);
    const others = IDS.filter((id) => id !== leader);
    for (const other of others) cluster.links.cut(leader, other);
    const lost = outcomeOf(cluster.node(leader).addLearner('d', cluster.addressOf('d')));
    await cluster.runFor(500);
    cluster.losePower(leader);
    lost.catch(() => undefined);
    cluster.links.heal();
    const next = await cluster.leader(others);
    await cluster.propose(next, 'accepted');
    const added = outcomeOf(cluster.node(next).addLearner('d', cluster.addressOf('d')));
    expect(await cluster.simulation.settle(added)).toBe('done');
    await cluster.simulation.settle(cluster.node(next).promote('d'));
    await cluster.converge([...others, 'd']);
  });
});
