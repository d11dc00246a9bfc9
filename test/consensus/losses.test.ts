import { describe, expect, it } from 'vitest';
import { RaftCluster } from './support/raft-cluster.js';

const FIVE = ['a', 'b', 'c', 'd', 'e'];
const ZONE_OF: Readonly<Record<string, string>> = {
  a: 'nayoro',
  b: 'nayoro',
  c: 'wakkanai',
  d: 'wakkanai',
  e: 'asahikawa',
};
/** Longer than a proposal waits. Milliseconds. */
const LONG = 30_000;

/** Resolves with whether the proposal was acknowledged. */
function tryToPropose(cluster: RaftCluster, id: string, command: string): Promise<boolean> {
  const proposal = cluster.node(id).propose(Buffer.from(command));
  return cluster.simulation.settle(
    proposal.then(
      () => true,
      () => false,
    ),
  );
}

describe('losses that come together', () => {
  it.each(['nayoro', 'wakkanai'])('keeps accepting when zone %s is cut off', async (zone) => {
    const cluster = await RaftCluster.started(1, FIVE, { zoneOf: ZONE_OF });
    await cluster.propose('e', 'before');
    cluster.links.isolateZone(zone);
    const inside = FIVE.filter((id) => ZONE_OF[id] === zone);
    const outside = FIVE.filter((id) => !inside.includes(id));
    await cluster.runFor(LONG);
    for (const id of inside) {
      expect(await tryToPropose(cluster, id, `inside-${id}`)).toBe(false);
      expect(cluster.node(id).status().role).not.toBe('leader');
    }
    for (const id of outside) expect(await tryToPropose(cluster, id, `outside-${id}`)).toBe(true);
    cluster.links.heal();
    await cluster.leader();
    await cluster.converge();
    for (const id of FIVE) {
      expect(cluster.commandsOf(id)).toEqual(['before', ...outside.map((o) => `outside-${o}`)]);
    }
    expect(cluster.violations).toEqual([]);
  });

  it('keeps accepting after two of five lose their power, the leader among them', async () => {
    const cluster = await RaftCluster.started(2, FIVE);
    const leader = await cluster.leader();
    const second = FIVE.find((id) => id !== leader) ?? '';
    await cluster.propose(leader, 'before');
    for (const id of [leader, second]) cluster.losePower(id);
    const rest = FIVE.filter((id) => id !== leader && id !== second);
    await cluster.leader(rest);
    for (const id of rest) expect(await tryToPropose(cluster, id, `two-lost-${id}`)).toBe(true);
    const third = rest[0] ?? '';
    cluster.losePower(third);
    await cluster.runFor(LONG);
    const [fourth = '', fifth = ''] = rest.slice(1);
    expect(await tryToPropose(cluster, fourth, 'three-lost')).toBe(false);
    await cluster.start(second);
    await cluster.leader([second, fourth, fifth]);
    expect(await tryToPropose(cluster, fifth, 'one-back')).toBe(true);
    await cluster.converge();
    const commands = cluster.commandsOf(second).filter((command) => command !== 'three-lost');
    expect(commands).toEqual(['before', ...rest.map((id) => `two-lost-${id}`), 'one-back']);
    expect(cluster.violations).toEqual([]);
  });
});
