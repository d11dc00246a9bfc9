import { describe, expect, it } from 'vitest';
import { IncarnationMismatchError } from '../../src/consensus/consensus-errors.js';
import type { RaftFaults } from '../../src/consensus/raft-faults.js';
import { RaftCluster } from './support/raft-cluster.js';

const IDS = ['a', 'b', 'c'];
const WIPED = { keepDisk: false };

function others(...without: readonly string[]): string[] {
  return IDS.filter((id) => !without.includes(id));
}

/**
 * Of the two members that hold a command, one dies and one comes back without
 * its disk, so that only the third and the empty one could elect a leader. The
 * first then comes back too. What the third holds in the end.
 */
async function commandsAfterLossOfWitness(faults: RaftFaults): Promise<readonly string[]> {
  const cluster = await RaftCluster.started(1, IDS, { faults });
  const leader = await cluster.leader();
  const [witness = '', behind = ''] = others(leader);
  cluster.links.isolate(behind);
  await cluster.propose(leader, 'accepted');
  cluster.losePower(leader);
  cluster.crash(witness);
  cluster.links.heal();
  await cluster.start(witness, WIPED);
  await cluster.runFor(10_000);
  await cluster.start(leader);
  await cluster.runFor(10_000);
  await cluster.propose(behind, 'later');
  return cluster.commandsOf(behind);
}

describe('a member that lost its disk', () => {
  it.each([{ join: false }, { join: true }])(
    'does not come back as the voter it was, %o',
    async (how) => {
      const cluster = await RaftCluster.started(2, IDS);
      const leader = await cluster.leader();
      const [lost = ''] = others(leader);
      await cluster.propose(leader, 'before');
      cluster.crash(lost);
      const node = await cluster.start(lost, { ...WIPED, ...how });
      const cause = await cluster.simulation.settle(node.stopped);
      expect(cause).toBeInstanceOf(IncarnationMismatchError);
      expect(cause?.message).toContain(`"${lost}"`);
      expect(cause?.message).toContain('add a new member id as a learner');
      await cluster.propose(leader, 'without it');
    },
  );

  it.each([
    { name: 'cannot make the group forget what it had accepted', faults: {}, kept: true },
    {
      name: 'would, if its new folder were taken for the old one',
      faults: { ignoreIncarnation: true },
      kept: false,
    },
  ])('$name', async ({ faults, kept }) => {
    const commands = await commandsAfterLossOfWitness(faults);
    expect(commands.includes('accepted')).toBe(kept);
    expect(commands).toContain('later');
  });

  it('has a successor that stands for election, should it alone hold the last change', async () => {
    const cluster = await RaftCluster.started(4, IDS);
    const leader = await cluster.leader();
    const [lost = '', behind = ''] = others(leader);
    cluster.crash(lost);
    await cluster.start('d', { join: true });
    const node = cluster.node(leader);
    await cluster.simulation.settle(node.addLearner('d', cluster.addressOf('d')));
    await cluster.simulation.settle(node.promote('d'));
    await cluster.simulation.settle(node.remove(lost));
    cluster.links.isolate(behind);
    await cluster.propose(leader, 'accepted');
    cluster.losePower(leader);
    cluster.links.heal();
    expect(await cluster.leader(['d', behind])).toBe('d');
    await cluster.converge(['d', behind]);
    expect(cluster.commandsOf(behind)).toEqual(['accepted']);
  });

  it.each([0, 1, 2])(
    'is replaced, and a second machine then fails, and nothing is lost (member %i)',
    async (place) => {
      const cluster = await RaftCluster.started(3, IDS);
      const lost = IDS[place] ?? '';
      const accepted: string[] = [];
      const accept = async (id: string, command: string): Promise<void> => {
        await cluster.propose(id, command);
        accepted.push(command);
      };
      for (let number = 0; number < 30; number += 1) await accept('a', `before-${number}`);
      cluster.crash(lost);
      const leader = await cluster.leader(others(lost));
      await accept(leader, 'one lost');
      await cluster.start('d', { join: true });
      const node = cluster.node(leader);
      await cluster.simulation.settle(node.addLearner('d', cluster.addressOf('d')));
      await accept(leader, 'learner added');
      await cluster.simulation.settle(node.promote('d'));
      await accept(leader, 'promoted');
      await cluster.simulation.settle(node.remove(lost));
      await accept(leader, 'removed');
      cluster.losePower(leader);
      const survivors = [...others(lost, leader), 'd'];
      const next = await cluster.leader(survivors);
      await accept(next, 'second lost');
      await cluster.converge(survivors);
      for (const id of survivors) expect(cluster.commandsOf(id)).toEqual(accepted);
      // The old id is used up: neither its old disk nor a new one takes part again.
      await cluster.start(lost, WIPED);
      await cluster.runFor(10_000);
      expect(cluster.commandsOf(lost)).toEqual([]);
      await accept(next, 'after');
      expect(cluster.violations).toEqual([]);
    },
  );
});
