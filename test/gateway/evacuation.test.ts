import { describe, expect, it } from 'vitest';
import type { ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import { GatewayHarness, textOf } from './gateway-harness.js';

/** Time in which an order is in force at every gateway: far below the five seconds allowed. */
const PROPAGATION_MS = 1_500;
const OBSERVED_MS = 12_000;
/** The way to the gateway and back; waiting for room would take 40 ms more. */
const IMMEDIATE_ANSWER_MS = 30;

interface TwoZones {
  readonly harness: GatewayHarness;
  readonly near: ExchangeReplica;
  readonly far: ExchangeReplica;
}

async function startTwoZones(): Promise<TwoZones> {
  const harness = await GatewayHarness.start(7);
  const near = await harness.addReplica('ledger', 'near', 'nayoro');
  const far = await harness.addReplica('ledger', 'far', 'wakkanai');
  await harness.putRoutes([{ pathPrefix: '/ledger/', service: 'ledger' }]);
  return { harness, near, far };
}

async function answersOf(harness: GatewayHarness, count: number): Promise<Set<string>> {
  const answers = new Set<string>();
  for (let index = 0; index < count; index += 1) {
    answers.add(textOf(await harness.call({ path: '/ledger/1' })));
  }
  return answers;
}

describe('a zone that is evacuated', () => {
  it('gets no request and no health check until that is taken back', async () => {
    const { harness, near } = await startTwoZones();
    expect(await answersOf(harness, 4)).toContain('near');
    expect(await harness.evacuate('nayoro', true)).toBe(200);
    await harness.simulation.runFor(PROPAGATION_MS);
    const { arrivals, healthChecks } = near;
    expect(await answersOf(harness, 10)).toEqual(new Set(['far']));
    await harness.simulation.runFor(OBSERVED_MS);
    expect(near.arrivals).toBe(arrivals);
    expect(near.healthChecks).toBe(healthChecks);
    expect(await harness.evacuate('nayoro', false, 2)).toBe(200);
    await harness.simulation.runFor(PROPAGATION_MS);
    expect(await answersOf(harness, 10)).toContain('near');
  });

  it('gets no hedge and no retry', async () => {
    const { harness, near, far } = await startTwoZones();
    await harness.evacuate('wakkanai', true);
    await harness.simulation.runFor(PROPAGATION_MS);
    near.workMs = 900;
    expect((await harness.call({ path: '/ledger/1' })).status).toBe(200);
    expect(far.arrivals).toBe(0);
  });

  it('gets nothing from a gateway that starts meanwhile', async () => {
    const { harness, near } = await startTwoZones();
    await harness.evacuate('nayoro', true);
    await harness.simulation.runFor(PROPAGATION_MS);
    const { arrivals } = near;
    await harness.restartGateway();
    for (let index = 0; index < 30; index += 1) await harness.call({ path: '/ledger/1' });
    expect(near.arrivals).toBe(arrivals);
  });

  it('stays evacuated over a loss of all power', async () => {
    const { harness, near } = await startTwoZones();
    await harness.evacuate('nayoro', true);
    await harness.simulation.runFor(PROPAGATION_MS);
    const { arrivals } = near;
    harness.losePower();
    await harness.restartControllers();
    await harness.restartGateway();
    for (let index = 0; index < 30; index += 1) await harness.call({ path: '/ledger/1' });
    await harness.simulation.runFor(OBSERVED_MS);
    expect(textOf(await harness.call({ path: '/ledger/1' }))).toBe('far');
    expect(near.arrivals).toBe(arrivals);
  });

  it('leaves callers a refusal as not run when it holds all replicas of a service', async () => {
    const { harness, near, far } = await startTwoZones();
    await harness.evacuate('nayoro', true);
    await harness.evacuate('wakkanai', true);
    await harness.simulation.runFor(PROPAGATION_MS);
    const { clock } = harness.machine.environment;
    const sentAt = clock.now();
    const answer = await harness.call({ path: '/ledger/1' });
    expect(answer.status).toBe(503);
    expect(clock.now() - sentAt).toBeLessThan(IMMEDIATE_ANSWER_MS);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect([near.arrivals, far.arrivals]).toEqual([0, 0]);
  });

  it('is left out of a fan-out, whose other shards are answered', async () => {
    const harness = await GatewayHarness.start();
    const near = await harness.addReplica('shard-a', 'a'.repeat(16), 'nayoro');
    await harness.addReplica('shard-a', 'b'.repeat(16), 'wakkanai');
    await harness.addReplica('shard-b', 'c'.repeat(16), 'wakkanai');
    const shards = ['shard-a', 'shard-b'];
    await harness.putRoutes([{ pathPrefix: '/all/', shards, topRecords: 2 }]);
    await harness.evacuate('nayoro', true);
    await harness.simulation.runFor(PROPAGATION_MS);
    const answer = await harness.call({ path: '/all/1' });
    expect(textOf(answer)).toBe('c'.repeat(16) + 'b'.repeat(16));
    expect(near.arrivals).toBe(0);
  });
});

describe('a route that names regions', () => {
  it('sends nothing to replicas elsewhere', async () => {
    const zones = { nayoro: 'dohoku', wakkanai: 'soya' };
    const harness = await GatewayHarness.start(7, { zones });
    const near = await harness.addReplica('ledger', 'near', 'nayoro');
    await harness.addReplica('ledger', 'far', 'wakkanai');
    const unknown = await harness.addReplica('ledger', 'unknown', 'elsewhere');
    await harness.putRoutes([
      { pathPrefix: '/ledger/', service: 'ledger', allowedRegions: ['soya'] },
      { pathPrefix: '/nowhere/', service: 'ledger', allowedRegions: ['tokachi'] },
    ]);
    expect(await answersOf(harness, 10)).toEqual(new Set(['far']));
    expect((await harness.call({ path: '/nowhere/1' })).status).toBe(503);
    expect([near.arrivals, unknown.arrivals]).toEqual([0, 0]);
  });
});
