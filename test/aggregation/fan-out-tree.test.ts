import { describe, expect, it } from 'vitest';
import type { ExchangeReplica } from '../../lab/exchange/exchange-replica.js';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import type { HttpClientResponse } from '../../src/seams/http.js';
import { GatewayHarness, textOf, type OtherGateway } from '../gateway/gateway-harness.js';
import { expectStopWhenCallerGoes } from './gone-caller.js';

const NAMES = DEFAULT_EXCHANGE_HEADERS;
const SHARDS = ['shard-a', 'shard-b', 'shard-c', 'shard-d', 'shard-e', 'shard-f'];
const ROUTE = { pathPrefix: '/q/', shards: SHARDS, topRecords: 3, requiredCoverage: 0.6 };
const AGGREGATION = { divideAbove: 3, shardsPerGroup: 2 };
/** Time for gateways to connect to each other. Milliseconds. */
const CONNECT_MS = 2_000;
/** Target latency of the route, to which callers and links add some milliseconds. */
const TARGET_MS = 200;

function record(text: string): string {
  return text.padEnd(16, '.');
}

function partsOf({ headers }: HttpClientResponse): string[] {
  return (headers[NAMES.partSignatures] ?? '').split(', ').sort();
}

interface Tree {
  readonly harness: GatewayHarness;
  readonly replicas: readonly ExchangeReplica[];
}

interface TreeOptions {
  readonly others?: number;
  readonly replicasPerShard?: number;
  readonly aggregation?: boolean;
  readonly takesGathers?: boolean;
}

async function start({
  others = 3,
  replicasPerShard = 3,
  aggregation = true,
  takesGathers = true,
}: TreeOptions = {}): Promise<Tree> {
  const harness = await GatewayHarness.start(7, {
    others,
    takesGathers,
    aggregation: AGGREGATION,
    mechanisms: { aggregation },
  });
  const replicas: ExchangeReplica[] = [];
  for (const shard of SHARDS) {
    const content = record(`${shard} low`) + record(`z ${shard}`) + 'rest';
    for (let copy = 0; copy < replicasPerShard; copy += 1) {
      replicas.push(await harness.addReplica(shard, content));
    }
  }
  await harness.putRoutes([ROUTE]);
  await harness.simulation.runFor(CONNECT_MS);
  return { harness, replicas };
}

/** Number of replicas that ran a request, by shard; a replica counts once. */
function replicasOf(replicas: readonly ExchangeReplica[], requestId: string): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { options, runs } of replicas) {
    const hasRun = runs.some((run) => run.requestId === requestId);
    if (hasRun) counts.set(options.service, (counts.get(options.service) ?? 0) + 1);
  }
  return counts;
}

/** Number of attempts that a gateway sent to replicas. */
async function attemptsOf({ registry }: OtherGateway): Promise<number> {
  const metric = await registry.getSingleMetric('driftway_gateway_attempts_total')?.get();
  return (metric?.values ?? []).reduce((sum, { value }) => sum + value, 0);
}

function expectWhole(answer: HttpClientResponse, id: string): void {
  expect(answer.status).toBe(200);
  expect(answer.headers[NAMES.missingParts]).toBe('0');
  expect(partsOf(answer)).toHaveLength(SHARDS.length);
  expect(new Set(partsOf(answer)).size).toBe(SHARDS.length);
  expect(partsOf(answer).every((part) => part.endsWith(`.${id}`))).toBe(true);
  expect(textOf(answer)).toBe(record('z shard-f') + record('z shard-e') + record('z shard-d'));
}

describe('a fan-out that is divided among gateways', () => {
  it('returns the same answer as one that is not divided', async () => {
    for (const aggregation of [true, false]) {
      const { harness } = await start({ aggregation });
      expectWhole(await harness.call({ path: '/q/1', id: 'mine' }), 'mine');
    }
  });

  it('has other gateways send most attempts, with one attempt per shard', async () => {
    const { harness, replicas } = await start();
    const calls = 10;
    for (let call = 0; call < calls; call += 1) await harness.call({ path: '/q/1' });
    const sends = calls * SHARDS.length;
    expect(replicas.reduce((sum, { runs }) => sum + runs.length, 0)).toBe(sends);
    const attempts = await Promise.all(harness.others.map(attemptsOf));
    expect(attempts.reduce((sum, count) => sum + count, 0)).toBeGreaterThan(sends / 2);
  });

  it('is divided also by a root that does not act as a leaf', async () => {
    const { harness } = await start({ takesGathers: false });
    expectWhole(await harness.call({ path: '/q/1', id: 'mine' }), 'mine');
    const attempts = await Promise.all(harness.others.map(attemptsOf));
    expect(attempts.reduce((sum, count) => sum + count, 0)).toBe(SHARDS.length);
  });

  it('sends replicas no deadline later than that of the caller', async () => {
    const { harness, replicas } = await start();
    await harness.call({ path: '/q/1', deadlineMs: 700 });
    const deadlines = replicas.flatMap(({ runs }) => runs.map(({ deadlineMs }) => deadlineMs));
    expect(deadlines.length).toBeGreaterThan(0);
    for (const deadline of deadlines) expect(deadline).toBeLessThanOrEqual(700);
  });

  it('answers before the target latency without late shards when the coverage suffices', async () => {
    const { harness, replicas } = await start();
    const slow = replicas.filter(({ options }) => options.service === 'shard-b');
    for (const replica of slow) replica.workMs = 1_000;
    const { clock } = harness.machine.environment;
    const begunAt = clock.now();
    const answer = await harness.call({ path: '/q/1' });
    expect(answer.status).toBe(200);
    expect(answer.headers[NAMES.missingParts]).toBe('1');
    expect(clock.now() - begunAt).toBeLessThan(TARGET_MS);
  });

  it('waits for late shards when the coverage does not suffice without them', async () => {
    const { harness, replicas } = await start();
    for (const replica of replicas) replica.workMs = 400;
    const answer = await harness.call({ path: '/q/1' });
    expect(answer.status).toBe(200);
  });

  it.each([
    ['loses power', (leaf: OtherGateway) => leaf.machine.crash({ power: true })],
    ['is killed', (leaf: OtherGateway) => leaf.machine.crash()],
    ['freezes', (leaf: OtherGateway) => leaf.machine.freeze(5_000)],
  ])(
    'returns a complete answer within the attempt limit when a leaf %s during the request',
    async (_, fail) => {
      const { harness, replicas } = await start({ others: 4 });
      for (const replica of replicas) replica.workMs = 30;
      for (const [index, leaf] of harness.others.slice(0, 2).entries()) {
        const id = `victim-${index}`;
        const sent = harness.send({ path: '/q/1', id });
        await harness.simulation.runFor(10);
        fail(leaf);
        expectWhole(await harness.simulation.settle(sent), id);
        await harness.simulation.runFor(6_000);
        for (const count of replicasOf(replicas, id).values()) expect(count).toBeLessThanOrEqual(2);
      }
    },
  );

  it('returns a complete answer when a leaf is unreachable, or cannot reach the root', async () => {
    const { harness } = await start();
    const { simulation, machine } = harness;
    const [leaf] = harness.others;
    simulation.cut({ from: { machine: machine.name }, to: { machine: leaf?.machine.name ?? '' } });
    expectWhole(await harness.call({ path: '/q/1', id: 'one' }), 'one');
    simulation.healAll();
    await simulation.runFor(CONNECT_MS);
    simulation.cut({ from: { machine: leaf?.machine.name ?? '' }, to: { machine: machine.name } });
    expectWhole(await harness.call({ path: '/q/1', id: 'two' }), 'two');
  });

  it('is served by the root alone when there is no other gateway', async () => {
    const { harness } = await start({ others: 0 });
    expectWhole(await harness.call({ path: '/q/1', id: 'alone' }), 'alone');
  });

  it('sends replicas nothing more after the caller has disconnected', async () => {
    const { harness, replicas } = await start();
    await expectStopWhenCallerGoes(harness, replicas);
  });

  it('returns complete answers to requests in progress while all leaves drain, and to later ones', async () => {
    const { harness, replicas } = await start();
    for (const replica of replicas) replica.workMs = 100;
    const first = harness.send({ path: '/q/1', id: 'first' });
    await harness.simulation.runFor(20);
    const stops = harness.others.map(({ daemon }) => daemon.stop());
    expectWhole(await harness.simulation.settle(first), 'first');
    for (const replica of replicas) replica.workMs = 10;
    expectWhole(await harness.call({ path: '/q/1', id: 'second' }), 'second');
    await harness.simulation.settle(Promise.all(stops));
    expectWhole(await harness.call({ path: '/q/1', id: 'third' }), 'third');
  });

  it('answers 502 or 504, not that nothing was run, when too many shards time out', async () => {
    const { harness, replicas } = await start();
    const lost = replicas.filter(({ options }) => /shard-[abcd]/.test(options.service));
    for (const replica of lost) replica.workMs = 100_000;
    const answer = await harness.call({ path: '/q/1', deadlineMs: 900 });
    expect([502, 504]).toContain(answer.status);
  });

  it('stays within the attempt limit when a leaf resumes after another one was tried', async () => {
    const { harness, replicas } = await start({ others: 4 });
    for (const replica of replicas) replica.workMs = 400;
    for (let call = 0; call < 8; call += 1) {
      const sent = harness.send({ path: '/q/1', id: `id-${call}` });
      await harness.simulation.runFor(20);
      // Longer than the root waits for a first report, but shorter than the request takes.
      for (const { machine } of harness.others.slice(0, 2)) machine.freeze(150);
      await harness.simulation.settle(sent);
      await harness.simulation.runFor(CONNECT_MS);
      const counts = [...replicasOf(replicas, `id-${call}`).values()];
      expect(Math.max(...counts)).toBeLessThanOrEqual(2);
    }
  });

  it('stays within the attempt limit while a third of the replicas is slow', async () => {
    const { harness, replicas } = await start();
    for (const [index, replica] of replicas.entries()) {
      if (index % 3 === 0) replica.workMs = 500;
    }
    for (let call = 0; call < 20; call += 1) await harness.call({ path: '/q/1', id: `id-${call}` });
    for (let call = 0; call < 20; call += 1) {
      const counts = [...replicasOf(replicas, `id-${call}`).values()];
      expect(Math.max(...counts)).toBeLessThanOrEqual(2);
    }
  });
});
