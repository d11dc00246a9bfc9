import { describe, expect, it } from 'vitest';
import { FanOutStep, GatherStep, StepTimeline } from '../../src/gateway/step-timeline.js';
import { ManualClock } from '../support/manual-clock.js';
import { GatewayHarness } from './gateway-harness.js';

describe('StepTimeline', () => {
  it('holds the first moment of each step, counted from the receipt', () => {
    const clock = new ManualClock();
    const timeline = new StepTimeline({ clock }, clock.now() - 4);
    timeline.record(FanOutStep.Sent);
    clock.advance(20);
    timeline.record(FanOutStep.FirstPart);
    clock.advance(20);
    timeline.record(FanOutStep.FirstPart);
    expect(timeline.fields).toEqual({ sentMs: 4, firstPartMs: 24 });
  });

  it('holds the last moment of a step that recurs', () => {
    const clock = new ManualClock();
    const timeline = new StepTimeline<GatherStep>({ clock }, clock.now());
    for (const passed of [5, 7]) {
      clock.advance(passed);
      timeline.record(GatherStep.FirstPart);
      timeline.record(GatherStep.LastPart);
    }
    expect(timeline.fields).toEqual({ firstPartMs: 5, lastPartMs: 12 });
  });

  it('tells for how long the event loop was busy since it was created', () => {
    const clock = new ManualClock();
    let busy = 100;
    const timeline = new StepTimeline({ clock, eventLoop: { busyTime: () => busy } }, 0);
    busy += 8;
    expect(timeline.fields).toEqual({ busyMs: 8 });
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
