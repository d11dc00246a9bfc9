import { describe, expect, it } from 'vitest';
import { FanOutStep, FanOutTimeline } from '../../src/gateway/fan-out-timeline.js';
import { ManualClock } from '../support/manual-clock.js';
import { GatewayHarness } from './gateway-harness.js';

describe('FanOutTimeline', () => {
  it('holds the first moment of each step, counted from the receipt', () => {
    const clock = new ManualClock();
    const timeline = new FanOutTimeline(clock, clock.now() - 4);
    timeline.record(FanOutStep.Sent);
    clock.advance(20);
    timeline.record(FanOutStep.FirstPart);
    clock.advance(20);
    timeline.record(FanOutStep.FirstPart);
    expect(timeline.fields).toEqual({ sentMs: 4, firstPartMs: 24 });
  });
});

describe('the decision log line of a fan-out', () => {
  it('holds when each step happened and how many shards the root queried itself', async () => {
    const harness = await GatewayHarness.start();
    const shards = ['shard-a', 'shard-b'];
    for (const shard of shards) await harness.addReplica(shard);
    const [, late] = shards;
    const replica = await harness.addReplica(late ?? '');
    replica.workMs = 20;
    await harness.putRoutes([{ pathPrefix: '/q/', shards, topRecords: 1, requiredCoverage: 0.5 }]);
    await harness.call({ path: '/q/1', id: 'mine' });
    const { fields } = harness.lineOf('mine');
    expect(fields).toMatchObject({ queriedByRoot: 2 });
    const { sentMs, firstPartMs, coveredMs, elapsedMs } = fields as Record<string, number>;
    expect(sentMs).toBeLessThanOrEqual(firstPartMs ?? -1);
    expect(coveredMs).toBe(firstPartMs);
    expect(coveredMs).toBeLessThanOrEqual(elapsedMs ?? -1);
  });
});
