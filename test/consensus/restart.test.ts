import { describe, expect, it } from 'vitest';
import { RaftCluster } from './support/raft-cluster.js';

const IDS = ['a', 'b', 'c'];
const COMMANDS = 2_000;
const BATCH = 50;
/** Small, so that compaction never rests. */
const LIMITS = { snapshotEveryRecords: 64, retainedRecords: 16, segmentBytes: 4_096 };

async function proposeMany(cluster: RaftCluster, count: number): Promise<void> {
  const leader = await cluster.leader();
  for (let first = 0; first < count; first += BATCH) {
    const batch = Array.from({ length: BATCH }, (_, place) =>
      cluster.node(leader).propose(Buffer.from(`command-${first + place}`)),
    );
    await cluster.simulation.settle(Promise.all(batch));
  }
}

describe('restart', () => {
  it.each([1, 2, 3, 5, 8, 13])(
    'comes back with all of 2,000 commands after a loss of power %i ms into more, amid compaction',
    async (delay) => {
      const cluster = await RaftCluster.started(10 + delay, IDS, { limits: LIMITS });
      await proposeMany(cluster, COMMANDS);
      const leader = await cluster.leader();
      const before = [...cluster.commandsOf(leader)];
      for (let number = 0; number < BATCH; number += 1) {
        cluster
          .node(leader)
          .propose(Buffer.from(`late-${number}`))
          .then(
            () => before.push(`late-${number}`),
            () => undefined,
          );
      }
      await cluster.runFor(delay);
      for (const id of IDS) cluster.crash(id);
      for (const id of IDS) await cluster.start(id);
      await cluster.leader();
      await cluster.converge();
      for (const id of IDS) {
        expect(cluster.commandsOf(id).slice(0, before.length)).toEqual(before);
      }
      expect(before.length).toBeGreaterThanOrEqual(COMMANDS);
      expect(cluster.violations).toEqual([]);
    },
  );

  it('lets a follower catch up under a leader to which nothing new is proposed', async () => {
    const cluster = await RaftCluster.started(12, IDS);
    await proposeMany(cluster, BATCH);
    const leader = await cluster.leader();
    const follower = IDS.find((id) => id !== leader) ?? '';
    await cluster.converge();
    await cluster.runFor(1_000);
    cluster.crash(follower);
    await cluster.start(follower);
    await cluster.converge();
    expect(cluster.commandsOf(follower)).toHaveLength(BATCH);
    expect(await cluster.leader()).toBe(leader);
  });

  it('sends a snapshot in chunks to a member that the log no longer serves', async () => {
    const cluster = await RaftCluster.started(13, IDS, {
      limits: { ...LIMITS, snapshotChunkBytes: 500 },
    });
    const leader = await cluster.leader();
    const lagging = IDS.find((id) => id !== leader) ?? '';
    cluster.crash(lagging);
    await proposeMany(cluster, 500);
    const others = IDS.filter((id) => id !== lagging);
    await cluster.converge(others);
    await cluster.start(lagging);
    await cluster.converge();
    expect(cluster.commandsOf(lagging)).toEqual(cluster.commandsOf(leader));
    expect(cluster.commandsOf(lagging)).toHaveLength(500);
  });

  it('hands leadership over before a planned stop', async () => {
    const cluster = await RaftCluster.started(14, IDS);
    const leader = await cluster.leader();
    const others = IDS.filter((id) => id !== leader);
    const stopsAt = cluster.simulation.now;
    await cluster.simulation.settle(cluster.node(leader).close());
    await cluster.leader(others);
    // Sooner than any election timeout: nobody had to notice a silence.
    expect(cluster.simulation.now - stopsAt).toBeLessThan(300);
  });
});
