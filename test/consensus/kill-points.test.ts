import { describe, expect, it } from 'vitest';
import { RaftCluster } from './support/raft-cluster.js';

const IDS = ['a', 'b', 'c'];
const SEED = 21;
/** Small, so that few commands make segments, snapshots and compactions. */
const LIMITS = { snapshotEveryRecords: 6, retainedRecords: 2, segmentBytes: 300 };
const COMMANDS = 30;
const FEWEST_WRITES = 60;
/** Only the victim dies, and the rest go on; or it comes back at once; or all die and come back. */
type Kill = 'victim' | 'victim at once' | 'all';
const KILLS: readonly Kill[] = ['victim', 'victim at once', 'all'];
/** Longest that a start takes which is not cut short. Milliseconds. */
const START_LIMIT = 500;

/** What a run did, and which of its commands were acknowledged. */
interface Run {
  readonly cluster: RaftCluster;
  readonly acknowledged: string[];
}

async function propose({ cluster, acknowledged }: Run, id: string, command: string): Promise<void> {
  const { node } = cluster.member(id);
  if (node === undefined) return;
  const proposal = node.propose(Buffer.from(command)).then(
    () => acknowledged.push(command),
    () => undefined,
  );
  await Promise.race([proposal, cluster.runFor(60)]);
}

/** Writes of every kind: votes, records, segments, snapshots, an installed snapshot. */
async function work(run: Run, victim: string, stopWithVictim: boolean): Promise<void> {
  const { cluster } = run;
  const [other = ''] = IDS.filter((id) => id !== victim);
  for (let number = 0; number < COMMANDS; number += 1) {
    if (stopWithVictim && cluster.member(victim).node === undefined) return;
    if (number === 6) cluster.links.isolate(victim);
    if (number === 16) cluster.links.heal();
    if (number === 18) await cluster.runFor(2_500);
    const id = cluster.member(other).node?.status().leaderId ?? other;
    await propose(run, id, `command-${number}`);
  }
}

/** Everything that was acknowledged is there, at everyone, once all run again. */
async function checkRecovery({ cluster, acknowledged }: Run): Promise<void> {
  cluster.links.heal();
  // A kill that is under way comes first.
  await cluster.runFor(5);
  for (const id of IDS) cluster.member(id).disk.crashAt = Infinity;
  for (const id of IDS) if (cluster.member(id).node === undefined) await cluster.start(id);
  await cluster.leader();
  await cluster.propose('a', 'last');
  await cluster.converge();
  expect(cluster.violations).toEqual([]);
  for (const id of IDS) {
    expect(cluster.commandsOf(id)).toEqual(cluster.commandsOf('a'));
    expect(new Set(cluster.commandsOf(id))).toEqual(
      new Set([...cluster.commandsOf(id), ...acknowledged]),
    );
  }
}

/** Runs the work with a kill in the victim's `crashAt`th write. Gives the writes it began. */
async function runWithKill(victim: string, crashAt: number, kill: Kill): Promise<number> {
  const cluster = await RaftCluster.started(SEED, IDS, { limits: LIMITS });
  const run = { cluster, acknowledged: [] };
  const { disk } = cluster.member(victim);
  const before = disk.operations;
  disk.crashAt = before + crashAt;
  await work(run, victim, kill !== 'victim');
  const killed = cluster.member(victim).node === undefined;
  if (killed && kill === 'all') for (const id of IDS) cluster.crash(id);
  await checkRecovery(run);
  return disk.operations - before;
}

/** Kills a member in the `crashAt`th write of a start; whether it got that far. */
async function killInStart(cluster: RaftCluster, id: string, crashAt: number): Promise<boolean> {
  cluster.crash(id);
  const starting = cluster.start(id, { crashAt, limit: START_LIMIT });
  return starting.then(
    () => false,
    () => true,
  );
}

describe('kill -9 in every write', () => {
  it.each(['leader', 'follower'])('of a %s amid votes, records and snapshots', async (role) => {
    const leader = await (await RaftCluster.started(SEED, IDS)).leader();
    const victim = role === 'leader' ? leader : (IDS.find((id) => id !== leader) ?? '');
    const writes = await runWithKill(victim, Infinity, 'victim');
    expect(writes).toBeGreaterThan(FEWEST_WRITES);
    for (let point = 1; point <= writes; point += 1) {
      await runWithKill(victim, point, KILLS[point % KILLS.length] ?? 'all');
    }
  });

  it('of a start on a folder that a kill left', async () => {
    const cluster = await RaftCluster.started(SEED, IDS, { limits: LIMITS });
    const run = { cluster, acknowledged: [] as string[] };
    let kills = 0;
    for (let point = 1; point <= 40; point += 1) {
      await propose(run, 'a', `command-${point}`);
      if (await killInStart(cluster, 'b', point % 10)) kills += 1;
      if (cluster.member('b').node === undefined) await cluster.start('b');
    }
    expect(kills).toBeGreaterThan(10);
    await checkRecovery(run);
    expect(run.acknowledged.length).toBeGreaterThan(20);
  });

  it('of the very first start, before the group has begun', async () => {
    for (let point = 1; point <= 20; point += 1) {
      const cluster = new RaftCluster(SEED + point, IDS, { limits: LIMITS });
      await killInStart(cluster, 'a', point);
      const run = { cluster, acknowledged: [] };
      await checkRecovery(run);
    }
  });
});
