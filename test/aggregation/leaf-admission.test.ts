/*
 * Guards against a fleet in which every request waits until its deadline: leaves that had more work
 * than time took each gather up, and nothing told roots to refuse a part of the requests at once.
 */
import { describe, expect, it } from 'vitest';
import type { ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import { LeafAdmission } from '../../src/aggregation/leaf-admission.js';
import { ManualClock } from '../support/manual-clock.js';
import { GatewayHarness } from '../gateway/gateway-harness.js';

const SHARDS = ['shard-a', 'shard-b', 'shard-c', 'shard-d', 'shard-e', 'shard-f'];
const TARGET_MS = 200;
const ROUTE = { pathPrefix: '/q/', shards: SHARDS, topRecords: 3, targetLatencyMs: TARGET_MS };
const NOT_RUN = 503;

function recordGathers(admission: LeafAdmission, count: number, lateOfTen: number): void {
  for (let index = 0; index < count; index += 1) admission.recordGather(index % 10 < lateOfTen);
}

describe('LeafAdmission', () => {
  it('admits everything while few gathers are late', () => {
    const admission = new LeafAdmission(new ManualClock());
    recordGathers(admission, 2_000, 3);
    expect(admission.admittedPart).toBe(1);
  });

  it('admits less while most gathers are late, never nothing, and everything again afterwards', () => {
    const admission = new LeafAdmission(new ManualClock());
    recordGathers(admission, 100, 9);
    expect(admission.admittedPart).toBeLessThan(0.6);
    recordGathers(admission, 10_000, 10);
    expect(admission.admittedPart).toBeGreaterThan(0.3);
    recordGathers(admission, 200, 0);
    expect(admission.admittedPart).toBe(1);
  });

  // Guards against a leaf that is asked seldom and refuses for minutes after an overload.
  it('admits everything within ten seconds after the last late gather, however few come', () => {
    const clock = new ManualClock();
    const admission = new LeafAdmission(clock);
    recordGathers(admission, 200, 10);
    clock.advance(10_000);
    expect(admission.admittedPart).toBe(1);
  });

  it('admits less while gathers stay late, however few come', () => {
    const clock = new ManualClock();
    const admission = new LeafAdmission(clock);
    for (let gather = 0; gather < 120; gather += 1) {
      admission.recordGather(true);
      clock.advance(500);
    }
    expect(admission.admittedPart).toBeLessThan(0.6);
  });
});

describe('a root whose leaves are late with nearly all gathers', () => {
  async function statusesOf(harness: GatewayHarness, calls: number): Promise<number[]> {
    const statuses: number[] = [];
    for (let call = 0; call < calls; call += 1) {
      statuses.push((await harness.call({ path: '/q/1' })).status);
    }
    return statuses;
  }

  it('refuses a part of the requests at once, and none once the leaves are in time again', async () => {
    const harness = await GatewayHarness.start(7, {
      others: 4,
      takesGathers: false,
      aggregation: { divideAbove: 3, shardsPerGroup: 2 },
    });
    const replicas: ExchangeReplica[] = [];
    for (const shard of [...SHARDS, ...SHARDS]) replicas.push(await harness.addReplica(shard));
    await harness.putRoutes([ROUTE]);
    expect(await statusesOf(harness, 40)).not.toContain(NOT_RUN);

    for (const replica of replicas) replica.workMs = 2 * TARGET_MS;
    await statusesOf(harness, 60);
    const overloaded = await statusesOf(harness, 60);
    const refused = overloaded.filter((status) => status === NOT_RUN).length;
    expect(refused).toBeGreaterThan(overloaded.length / 5);
    expect(refused).toBeLessThan((overloaded.length * 4) / 5);

    for (const replica of replicas) replica.workMs = 10;
    await statusesOf(harness, 200);
    expect(await statusesOf(harness, 40)).not.toContain(NOT_RUN);
  });

  // Guards against refusals for minutes after an overload that nobody has met since.
  it('refuses none ten seconds after the last request, without any in between', async () => {
    const harness = await GatewayHarness.start(7, {
      others: 4,
      takesGathers: false,
      aggregation: { divideAbove: 3, shardsPerGroup: 2 },
    });
    const replicas: ExchangeReplica[] = [];
    for (const shard of [...SHARDS, ...SHARDS]) replicas.push(await harness.addReplica(shard));
    await harness.putRoutes([{ ...ROUTE, priority: 2 }]);
    for (const replica of replicas) replica.workMs = 2 * TARGET_MS;
    await statusesOf(harness, 60);
    for (const replica of replicas) replica.workMs = 10;
    await harness.simulation.runFor(10_000);
    expect(await statusesOf(harness, 60)).not.toContain(NOT_RUN);
  });
});
