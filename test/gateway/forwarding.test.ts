import { describe, expect, it } from 'vitest';
import { ReplicaBehaviour } from '../../lab/exchange/exchange-replica.js';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import { GatewayHarness, textOf } from './gateway-harness.js';

const NAMES = DEFAULT_EXCHANGE_HEADERS;

describe('forwarding to one service', () => {
  it('forwards a request unchanged with the remaining time, and returns the response', async () => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger', 'the whole ledger');
    await harness.putRoutes([{ pathPrefix: '/ledger/', service: 'ledger' }]);
    const target = '/ledger/a%2Fb?x=1&x=2&y';
    const answer = await harness.call({
      path: target,
      id: 'mine',
      method: 'POST',
      body: 'pledge',
      deadlineMs: 900,
    });
    expect(answer.status).toBe(200);
    expect(textOf(answer)).toBe('the whole ledger');
    expect(answer.headers[NAMES.signature]).toBe(`${replica.options.replicaId}.mine`);
    const [run] = replica.runs;
    expect(run).toMatchObject({ requestId: 'mine', method: 'POST', target, body: 'pledge' });
    expect(run?.deadlineMs).toBeLessThanOrEqual(900);
    expect(run?.deadlineMs).toBeGreaterThan(800);
  });

  it('responds 503 before the first routes, and 404 when no route matches', async () => {
    const harness = await GatewayHarness.start();
    const early = await harness.call({ path: '/ledger/1' });
    expect(early.status).toBe(503);
    expect(Number(early.headers['retry-after'])).toBeGreaterThan(0);
    expect(await harness.readyStatus()).toBe(503);
    await harness.putRoutes([{ pathPrefix: '/ledger/', service: 'ledger' }]);
    expect((await harness.call({ path: '/other/1' })).status).toBe(404);
    expect(await harness.readyStatus()).toBe(200);
  });

  it('picks the route with the longest matching prefix', async () => {
    const harness = await GatewayHarness.start();
    await harness.addReplica('general', 'general');
    await harness.addReplica('special', 'special');
    await harness.putRoutes([
      { pathPrefix: '/a/', service: 'general' },
      { pathPrefix: '/a/b/', service: 'special' },
    ]);
    expect(textOf(await harness.call({ path: '/a/b/c' }))).toBe('special');
    expect(textOf(await harness.call({ path: '/a/bc' }))).toBe('general');
  });

  it('splits requests between services in proportion to their weights', async () => {
    const harness = await GatewayHarness.start();
    await harness.addReplica('one', 'one');
    await harness.addReplica('three', 'three');
    const split = [
      { service: 'one', weight: 1 },
      { service: 'three', weight: 3 },
    ];
    await harness.putRoutes([{ pathPrefix: '/a/', split }]);
    const answers: string[] = [];
    for (let index = 0; index < 40; index += 1) {
      answers.push(textOf(await harness.call({ path: '/a/1' })));
    }
    expect(answers.filter((answer) => answer === 'one')).toHaveLength(10);
  });

  for (const behaviour of [
    ReplicaBehaviour.LoseAnswer,
    ReplicaBehaviour.AnswerForOther,
    ReplicaBehaviour.Unsigned,
    ReplicaBehaviour.RefuseUnnamed,
  ]) {
    it(`never runs a non-repeatable request twice after ${behaviour}`, async () => {
      const harness = await GatewayHarness.start();
      const replicas = [await harness.addReplica('pledge'), await harness.addReplica('pledge')];
      for (const replica of replicas) replica.behaviour = behaviour;
      await harness.putRoutes([
        { pathPrefix: '/p/', service: 'pledge', execution: 'atMostOnce', maximumAttempts: 3 },
      ]);
      for (let index = 0; index < 20; index += 1) {
        const { status } = await harness.call({ path: '/p/1', id: `p-${index}`, method: 'POST' });
        // The request may have run, so the status must not claim that it was not.
        expect([502, 504]).toContain(status);
      }
      const ids = replicas.flatMap(({ runs }) => runs.map(({ requestId }) => requestId));
      expect(new Set(ids).size).toBe(ids.length);
    });
  }

  it('retries a repeatable request at another replica when one returns no valid response', async () => {
    const harness = await GatewayHarness.start();
    const replicas = [
      await harness.addReplica('ledger', 'whole'),
      await harness.addReplica('ledger', 'whole'),
    ];
    await harness.putRoutes([{ pathPrefix: '/l/', service: 'ledger' }]);
    for (let index = 0; index < 60; index += 1) await harness.call({ path: '/l/1' });
    const [first] = replicas;
    if (first !== undefined) first.behaviour = ReplicaBehaviour.AnswerForOther;
    const statuses: number[] = [];
    for (let index = 0; index < 10; index += 1) {
      const answer = await harness.call({ path: '/l/1' });
      statuses.push(answer.status);
      expect(textOf(answer)).toBe('whole');
    }
    expect(statuses).toEqual(Array.from({ length: 10 }, () => 200));
  });

  it('responds "not run" with a retry-after when every replica refuses, and none runs it', async () => {
    const harness = await GatewayHarness.start();
    const replicas = [await harness.addReplica('ledger'), await harness.addReplica('ledger')];
    for (const replica of replicas) replica.behaviour = ReplicaBehaviour.Refuse;
    await harness.putRoutes([{ pathPrefix: '/l/', service: 'ledger' }]);
    const answer = await harness.call({ path: '/l/1' });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect(replicas.flatMap(({ runs }) => runs)).toEqual([]);
  });

  it("returns a replica's own failure with its signature", async () => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger', 'sorry');
    replica.behaviour = ReplicaBehaviour.Fail;
    await harness.putRoutes([{ pathPrefix: '/l/', service: 'ledger' }]);
    const answer = await harness.call({ path: '/l/1', id: 'mine' });
    expect(answer.status).toBe(500);
    expect(textOf(answer)).toBe('sorry');
    expect(answer.headers[NAMES.signature]).toBe(`${replica.options.replicaId}.mine`);
  });

  it("responds 504 at the route's timeout when the replica has not answered", async () => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger');
    replica.workMs = 60_000;
    await harness.putRoutes([{ pathPrefix: '/l/', service: 'ledger', timeoutMs: 500 }]);
    const begunAt = harness.machine.environment.clock.now();
    const { status } = await harness.call({ path: '/l/1', deadlineMs: 5_000 });
    const elapsed = harness.machine.environment.clock.now() - begunAt;
    expect(status).toBe(504);
    expect(elapsed).toBeGreaterThanOrEqual(500);
    expect(elapsed).toBeLessThan(600);
  });

  it('refuses a request early when no replica can accept it', async () => {
    const harness = await GatewayHarness.start();
    await harness.putRoutes([{ pathPrefix: '/l/', service: 'ledger', targetLatencyMs: 200 }]);
    const begunAt = harness.machine.environment.clock.now();
    expect((await harness.call({ path: '/l/1' })).status).toBe(503);
    // At most 30 % of the target latency, so that a retry can still be in time.
    expect(harness.machine.environment.clock.now() - begunAt).toBeLessThan(60);
  });
});

describe('leaving replicas', () => {
  it('get no new requests after the controllers acknowledged that they leave', async () => {
    const harness = await GatewayHarness.start();
    const [leaving, staying] = [
      await harness.addReplica('ledger'),
      await harness.addReplica('ledger'),
    ];
    await harness.putRoutes([{ pathPrefix: '/l/', service: 'ledger' }]);
    expect(await harness.simulation.settle(leaving.drain())).toBe(true);
    const before = leaving.arrivals;
    for (let index = 0; index < 30; index += 1) await harness.call({ path: '/l/1' });
    expect(leaving.arrivals).toBe(before);
    expect(staying.runs.length).toBeGreaterThanOrEqual(30);
  });

  it('get no acknowledgement from a controller that reaches no quorum', async () => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger');
    await harness.putRoutes([{ pathPrefix: '/l/', service: 'ledger' }]);
    harness.group.machineAt(1).crash();
    harness.group.machineAt(2).crash();
    expect(await harness.simulation.settle(replica.drain())).toBe(false);
  });
});

describe('planned stop', () => {
  it('reports not ready at once, keeps serving, and answers every request in flight', async () => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger', 'whole');
    replica.workMs = 1_500;
    await harness.putRoutes([{ pathPrefix: '/l/', service: 'ledger' }]);
    const inFlight = harness.send({ path: '/l/1' });
    const stopped = harness.gateway.stop();
    expect(await harness.readyStatus()).toBe(503);
    const late = harness.send({ path: '/l/2' });
    const answers = await harness.simulation.settle(Promise.all([inFlight, late]));
    expect(answers.map(({ status }) => status)).toEqual([200, 200]);
    expect(answers[1]?.headers['connection']).toBe('close');
    await harness.simulation.settle(stopped);
  });
});

describe('a long-running gateway', () => {
  it('still knows replicas that have not changed for five minutes', async () => {
    const harness = await GatewayHarness.start();
    await harness.addReplica('ledger', 'whole');
    await harness.putRoutes([{ pathPrefix: '/ledger/', service: 'ledger' }]);
    await harness.simulation.runFor(300_000);
    expect((await harness.call({ path: '/ledger/1' })).status).toBe(200);
  });
});
