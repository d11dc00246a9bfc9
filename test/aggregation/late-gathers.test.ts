import { describe, expect, it } from 'vitest';
import type { ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import { GatewayHarness } from '../gateway/gateway-harness.js';

const SHARDS = ['shard-a', 'shard-b', 'shard-c', 'shard-d'];
const DEADLINE_MS = 400;
/** Time for gateways to connect to each other. Milliseconds. */
const CONNECT_MS = 3_000;
/** Longer than any request is in progress here. Milliseconds. */
const SETTLE_MS = 3_000;

interface Tree {
  readonly harness: GatewayHarness;
  readonly replicas: readonly ExchangeReplica[];
}

/** Starts a root that is no leaf and one leaf, which queries all shards for it. */
async function start(): Promise<Tree> {
  const harness = await GatewayHarness.start(7, {
    others: 1,
    takesGathers: false,
    aggregation: { divideAbove: 2, shardsPerGroup: 4 },
  });
  const replicas: ExchangeReplica[] = [];
  for (const shard of SHARDS) replicas.push(await harness.addReplica(shard, 'z'.padEnd(16, '.')));
  await harness.putRoutes([{ pathPrefix: '/q/', shards: SHARDS, topRecords: 3 }]);
  await harness.simulation.runFor(CONNECT_MS);
  await harness.call({ path: '/q/1' });
  return { harness, replicas };
}

/** Holds the leaf for `milliseconds` from just before it would read the gather of a new request. */
async function callWhileLeafIsHeld({ harness }: Tree, id: string, holdMs: number): Promise<number> {
  const { clock } = harness.machine.environment;
  for (const { machine } of harness.others) machine.freeze(holdMs);
  const sentAt = clock.now();
  const answer = harness.send({ path: '/q/1', id, deadlineMs: DEADLINE_MS });
  await harness.simulation.settle(answer);
  await harness.simulation.runFor(SETTLE_MS);
  return sentAt;
}

describe('a leaf that reads a gather late', () => {
  it('sends nothing to replicas after the deadline of the caller', async () => {
    const tree = await start();
    await callWhileLeafIsHeld(tree, 'late', DEADLINE_MS + 200);
    const runs = tree.replicas.flatMap(({ runs }) => runs);
    expect(runs.filter(({ requestId }) => requestId === 'late')).toEqual([]);
  });

  it('tells replicas no later deadline than the caller has', async () => {
    const tree = await start();
    const heldMs = 150;
    await callWhileLeafIsHeld(tree, 'held', heldMs);
    const runs = tree.replicas.flatMap(({ runs }) => runs);
    const held = runs.filter(({ requestId }) => requestId === 'held');
    expect(held.length).toBeGreaterThan(0);
    for (const { deadlineMs } of held) expect(deadlineMs).toBeLessThanOrEqual(DEADLINE_MS - heldMs);
  });
});
