import { describe, expect, it } from 'vitest';
import { RaftCluster } from './support/raft-cluster.js';

const SHORTEST_MS = 1_000;
/** Elections begin about as late as they may. */
const timings = {
  electionTimeoutMinimum: SHORTEST_MS,
  electionTimeoutMaximum: SHORTEST_MS + 1,
};
/** Of a member that leaves the first election to another one. */
const LATER = {
  electionTimeoutMinimum: 2 * SHORTEST_MS,
  electionTimeoutMaximum: 2 * SHORTEST_MS + 1,
};

/** Makes a proposal and a read at each member at the same time. */
async function callAt(cluster: RaftCluster, ids: readonly string[]): Promise<void> {
  const calls = ids.flatMap((id): Promise<unknown>[] => [
    cluster.node(id).propose(Buffer.from(`proposed at ${id}`)),
    cluster.node(id).readBarrier(),
  ]);
  await cluster.simulation.settle(Promise.all(calls));
}

// Guards against calls that are refused for want of a leader while an election that ends well is running.
describe('calls before an election that begins after the longest silence', () => {
  it('are served by a single member that has started again', async () => {
    const cluster = await RaftCluster.started(1, ['a'], { timings });
    cluster.crash('a');
    await cluster.start('a');
    await callAt(cluster, ['a']);
    expect(cluster.commandsOf('a')).toEqual(['proposed at a']);
  });

  it.each([1, 2, 3, 4])('are served by two of three members (seed %i)', async (seed) => {
    const options = { timings, timingsOf: { b: LATER, c: LATER } };
    const cluster = await RaftCluster.started(seed, ['a', 'b', 'c'], options);
    for (const id of ['a', 'b', 'c']) cluster.losePower(id);
    for (const id of ['a', 'b']) await cluster.start(id);
    await callAt(cluster, ['a', 'b']);
    await cluster.converge();
    expect([...cluster.commandsOf('a')].sort()).toEqual(['proposed at a', 'proposed at b']);
    expect(cluster.violations).toEqual([]);
  });
});
