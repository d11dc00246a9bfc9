/*
 * Guards against fan-outs that ask every replica twice because all of them are slow: a leaf told that
 * it was alive later than the root waited for, the slower its replicas the later, so roots gave
 * the groups of sound leaves to further leaves. The second requests made all of them slower still.
 */
import { describe, expect, it } from 'vitest';
import type { ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import { GatewayHarness } from '../gateway/gateway-harness.js';

const SHARDS = ['shard-a', 'shard-b', 'shard-c', 'shard-d', 'shard-e', 'shard-f'];
const TARGET_MS = 200;
const ROUTE = { pathPrefix: '/q/', shards: SHARDS, topRecords: 3, targetLatencyMs: TARGET_MS };
const CALLS = 60;
const CONNECT_MS = 2_000;

async function startFleet(workMs: number): Promise<[GatewayHarness, ExchangeReplica[]]> {
  const harness = await GatewayHarness.start(7, {
    others: 4,
    takesGathers: false,
    aggregation: { divideAbove: 3, shardsPerGroup: 2 },
  });
  const replicas: ExchangeReplica[] = [];
  for (const shard of [...SHARDS, ...SHARDS]) {
    const replica = await harness.addReplica(shard);
    replica.workMs = workMs;
    replicas.push(replica);
  }
  await harness.putRoutes([ROUTE]);
  await harness.simulation.runFor(CONNECT_MS);
  return [harness, replicas];
}

/** Number of groups that the root gave to a second leaf beside a silent one. */
async function countRepeatedGathers({ registry }: GatewayHarness): Promise<number> {
  const metric = await registry.getSingleMetric('driftway_gateway_gathers_repeated_total')?.get();
  return metric?.values[0]?.value ?? 0;
}

describe('a fan-out whose leaves are all late', () => {
  it('is given to further leaves in few groups, also right after the start', async () => {
    const [harness] = await startFleet(10);
    for (let call = 0; call < CALLS; call += 1) {
      const answer = harness.send({ path: '/q/1' });
      await harness.simulation.runFor(1);
      // Longer than a root waits for a first report.
      for (const { machine } of harness.others) machine.freeze(0.8 * TARGET_MS);
      await harness.simulation.settle(answer);
    }
    const groups = CALLS * (SHARDS.length / 2);
    expect(await countRepeatedGathers(harness)).toBeLessThanOrEqual(groups * 0.1);
  });
});

describe('a fan-out whose replicas are all slow', () => {
  it.each([0.6, 0.8, 1.2, 2])(
    'is given to one leaf a group when replicas work for %d times the target',
    async (factor) => {
      const [harness, replicas] = await startFleet(factor * TARGET_MS);
      for (let call = 0; call < CALLS; call += 1) await harness.call({ path: '/q/1' });
      expect(await countRepeatedGathers(harness)).toBe(0);
      const runs = replicas.reduce((sum, replica) => sum + replica.runs.length, 0);
      // Second sends may be a fifth of the requests.
      expect(runs).toBeLessThanOrEqual(CALLS * SHARDS.length * 1.2);
    },
  );
});
