/** Tests the callers of a gateway whose planned stop is about to end. */
import { describe, expect, it } from 'vitest';
import { ReplicaBehaviour, type ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import type { HttpClientResponse } from '../../src/seams/http.js';
import { GatewayHarness, textOf, type TestRoute } from './gateway-harness.js';

/** Of the harness's gateways: 0.9 of their grace period. Milliseconds. */
const DRAIN_MS = 5_400;
const LONG_MS = 8_000;
const SINGLE: TestRoute = {
  pathPrefix: '/l/',
  service: 'ledger',
  timeoutMs: LONG_MS,
  targetLatencyMs: 800,
};
const AT_MOST_ONCE: TestRoute = { ...SINGLE, execution: 'atMostOnce' };
const SHARDS = ['part-1', 'part-2', 'part-3', 'part-4'];
const FAN_OUT: TestRoute = {
  pathPrefix: '/q/',
  shards: SHARDS,
  timeoutMs: LONG_MS,
  targetLatencyMs: 800,
  topRecords: 5,
  requiredCoverage: 0.75,
};

async function start(
  route: TestRoute,
  services: readonly string[],
): Promise<{ harness: GatewayHarness; replicas: ExchangeReplica[] }> {
  const harness = await GatewayHarness.start();
  const replicas: ExchangeReplica[] = [];
  for (const service of services) replicas.push(await harness.addReplica(service, 'whole'));
  await harness.putRoutes([route]);
  return { harness, replicas };
}

function expectRejected(answer: HttpClientResponse): void {
  expect(answer.status).toBe(503);
  expect(JSON.parse(textOf(answer))).toMatchObject({
    error: { code: 'not_run', message: 'the gateway is stopping' },
  });
  expect(Number(answer.headers['retry-after'])).toBeLessThan(0.1);
  expect(answer.headers['connection']).toBe('close');
}

describe('a request taken late in a planned stop', () => {
  // Guards against a 502 at the end of the drain for a request that a replica ran.
  it('is rejected before it reaches a replica if it may not be repeated and could be cut off', async () => {
    const { harness, replicas } = await start(AT_MOST_ONCE, ['ledger']);
    const stopped = harness.gateway.stop();
    await harness.simulation.runFor(2_900);
    expectRejected(await harness.call({ path: '/l/1', method: 'POST', deadlineMs: LONG_MS }));
    expect((await harness.call({ path: '/l/2', deadlineMs: 2_000 })).status).toBe(200);
    await harness.simulation.settle(stopped);
    expect(replicas[0]?.runs).toHaveLength(1);
  });

  it('is rejected if nothing is learned of its route and it could be cut off', async () => {
    const { harness, replicas } = await start(SINGLE, ['ledger']);
    const stopped = harness.gateway.stop();
    expectRejected(await harness.call({ path: '/l/1', deadlineMs: LONG_MS }));
    await harness.simulation.settle(stopped);
    expect(replicas[0]?.runs).toHaveLength(0);
  });

  // Guards against a whole stop without service for callers that have heard nothing of it yet.
  it('is served if it is repeatable and its route usually takes little time', async () => {
    const { harness } = await start(SINGLE, ['ledger']);
    for (let call = 0; call < 40; call += 1) {
      await harness.call({ path: `/l/${call}`, deadlineMs: LONG_MS });
    }
    const stopped = harness.gateway.stop();
    await harness.simulation.runFor(3_000);
    expect((await harness.call({ path: '/l/late', deadlineMs: LONG_MS })).status).toBe(200);
    await harness.simulation.settle(stopped);
  });

  it('is rejected before it reaches a shard if its parts could be cut off', async () => {
    const { harness, replicas } = await start(FAN_OUT, SHARDS);
    const stopped = harness.gateway.stop();
    expectRejected(await harness.call({ path: '/q/1', deadlineMs: LONG_MS }));
    await harness.simulation.settle(stopped);
    expect(replicas.flatMap(({ runs }) => runs)).toHaveLength(0);
  });
});

describe('a request that is unanswered when the drain ends', () => {
  // Guards against a connection that is closed without a word.
  it('is answered with what is known: a replica may have run it', async () => {
    const { harness, replicas } = await start(AT_MOST_ONCE, ['ledger']);
    for (const replica of replicas) replica.workMs = LONG_MS;
    const sent = harness.send({ path: '/l/1', method: 'POST', deadlineMs: LONG_MS });
    await harness.simulation.runFor(100);
    const stopped = harness.gateway.stop();
    const answer = await harness.simulation.settle(sent);
    expect(answer.status).toBe(502);
    expect(textOf(answer)).toContain('the gateway is stopping');
    await harness.simulation.settle(stopped);
    expect(harness.lines.find(({ message }) => message === 'gateway stopped')?.fields).toEqual({
      inFlight: 0,
      refused: 0,
      unanswered: 1,
    });
  });

  it('is answered with the parts that are there if they cover enough', async () => {
    const { harness, replicas } = await start({ ...FAN_OUT, targetLatencyMs: LONG_MS }, SHARDS);
    const [slow] = replicas;
    if (slow !== undefined) slow.workMs = LONG_MS;
    const sent = harness.send({ path: '/q/1', deadlineMs: LONG_MS });
    await harness.simulation.runFor(100);
    const stopped = harness.gateway.stop();
    const answer = await harness.simulation.settle(sent);
    expect(answer.status).toBe(200);
    expect(answer.headers['x-driftway-missing-parts']).toBe('1');
    await harness.simulation.settle(stopped);
  });

  // Guards against a first attempt that is cut off as soon as it was sent.
  it('is not sent to a replica that has room only shortly before', async () => {
    const { harness, replicas } = await start({ ...AT_MOST_ONCE, targetLatencyMs: LONG_MS }, [
      'ledger',
    ]);
    for (const replica of replicas) replica.behaviour = ReplicaBehaviour.Refuse;
    const sent = harness.send({ path: '/l/1', method: 'POST', deadlineMs: LONG_MS });
    const stopped = harness.gateway.stop();
    await harness.simulation.runFor(50);
    for (const replica of replicas) replica.behaviour = ReplicaBehaviour.Serve;
    for (const replica of replicas) replica.workMs = LONG_MS;
    const answer = await harness.simulation.settle(sent);
    expect(answer.status).toBe(503);
    expect(replicas.flatMap(({ runs }) => runs)).toHaveLength(0);
    await harness.simulation.settle(stopped);
  });
});

// Guards against a replica that is given work whose answer nobody waits for.
it('sends no hedge that is due shortly before the drain ends', async () => {
  const hedgeAfterMs = DRAIN_MS - 50;
  const targetLatencyMs = hedgeAfterMs / 0.3;
  const route = { ...SINGLE, timeoutMs: 20_000, targetLatencyMs };
  const { harness, replicas } = await start(route, ['ledger', 'ledger']);
  for (const replica of replicas) replica.workMs = 20_000;
  const sent = harness.send({ path: '/l/1', deadlineMs: 20_000 });
  await harness.simulation.runFor(10);
  const stopped = harness.gateway.stop();
  expect((await harness.simulation.settle(sent)).status).toBe(502);
  await harness.simulation.settle(stopped);
  expect(replicas.flatMap(({ runs }) => runs)).toHaveLength(1);
});

it('leaves nothing of a drain unanswered in less than its whole time when all answers are there', async () => {
  const { harness } = await start(SINGLE, ['ledger']);
  const startedAt = harness.machine.environment.clock.now();
  await harness.simulation.settle(harness.gateway.stop());
  expect(harness.machine.environment.clock.now() - startedAt).toBeLessThan(DRAIN_MS);
});
