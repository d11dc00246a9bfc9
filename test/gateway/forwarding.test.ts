import { describe, expect, it } from 'vitest';
import { ReplicaBehaviour } from '../../lab/exchange/exchange-replica.js';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import { GatewayHarness, textOf } from './gateway-harness.js';

const NAMES = DEFAULT_EXCHANGE_HEADERS;

describe('forwarding to one service', () => {
  it('passes a request on unchanged, with the time that is left, and the answer back', async () => {
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

  it('says 503 before there are routes, and 404 where none fits', async () => {
    const harness = await GatewayHarness.start();
    const early = await harness.call({ path: '/ledger/1' });
    expect(early.status).toBe(503);
    expect(Number(early.headers['retry-after'])).toBeGreaterThan(0);
    expect(await harness.readyStatus()).toBe(503);
    await harness.putRoutes([{ pathPrefix: '/ledger/', service: 'ledger' }]);
    expect((await harness.call({ path: '/other/1' })).status).toBe(404);
    expect(await harness.readyStatus()).toBe(200);
  });

  it('picks the longest prefix', async () => {
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

  it('shares requests in proportion to the weights', async () => {
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
    it(`never runs what is not repeatable twice after ${behaviour}`, async () => {
      const harness = await GatewayHarness.start();
      const replicas = [await harness.addReplica('pledge'), await harness.addReplica('pledge')];
      for (const replica of replicas) replica.behaviour = behaviour;
      await harness.putRoutes([
        { pathPrefix: '/p/', service: 'pledge', execution: 'atMostOnce', maximumAttempts: 3 },
      ]);
      for (let index = 0; index < 20; index += 1) {
        const { status } = await harness.call({ path: '/p/1', id: `p-${index}`, method: 'POST' });
        // It may have run, so no status that promises the contrary.
        expect([502, 504]).toContain(status);
      }
      const ids = replicas.flatMap(({ runs }) => runs.map(({ requestId }) => requestId));
      expect(new Set(ids).size).toBe(ids.length);
    });
  }

  it('asks another replica when one loses the answer to a repeatable request', async () => {
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

  it('says "not run" only when no replica ran it, with when to come back', async () => {
    const harness = await GatewayHarness.start();
    const replicas = [await harness.addReplica('ledger'), await harness.addReplica('ledger')];
    for (const replica of replicas) replica.behaviour = ReplicaBehaviour.Refuse;
    await harness.putRoutes([{ pathPrefix: '/l/', service: 'ledger' }]);
    const answer = await harness.call({ path: '/l/1' });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect(replicas.flatMap(({ runs }) => runs)).toEqual([]);
  });

  it("gives a replica's own failure back with its signature", async () => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger', 'sorry');
    replica.behaviour = ReplicaBehaviour.Fail;
    await harness.putRoutes([{ pathPrefix: '/l/', service: 'ledger' }]);
    const answer = await harness.call({ path: '/l/1', id: 'mine' });
    expect(answer.status).toBe(500);
    expect(textOf(answer)).toBe('sorry');
    expect(answer.headers[NAMES.signature]).toBe(`${replica.options.replicaId}.mine`);
  });

  it("ends at the route's timeout, and cancels at the replica", async () => {
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

  it('refuses at once what no replica can take', async () => {
    const harness = await GatewayHarness.start();
    await harness.putRoutes([{ pathPrefix: '/l/', service: 'ledger', targetLatencyMs: 200 }]);
    const begunAt = harness.machine.environment.clock.now();
    expect((await harness.call({ path: '/l/1' })).status).toBe(503);
    // Within a quarter of the target, so that a retry may still be in time.
    expect(harness.machine.environment.clock.now() - begunAt).toBeLessThan(60);
  });
});

describe('replicas that leave', () => {
  it('get nothing new after their leaving was acknowledged', async () => {
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

  it('are not acknowledged by a controller that reaches no quorum', async () => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger');
    await harness.putRoutes([{ pathPrefix: '/l/', service: 'ledger' }]);
    harness.group.machineAt(1).crash();
    harness.group.machineAt(2).crash();
    expect(await harness.simulation.settle(replica.drain())).toBe(false);
  });
});

describe('planned stop', () => {
  it('is not ready at once, serves on, and cuts nothing off', async () => {
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

describe('a gateway that has run for long', () => {
  it('still knows replicas of which nothing changed', async () => {
    const harness = await GatewayHarness.start();
    await harness.addReplica('ledger', 'whole');
    await harness.putRoutes([{ pathPrefix: '/ledger/', service: 'ledger' }]);
    await harness.simulation.runFor(300_000);
    expect((await harness.call({ path: '/ledger/1' })).status).toBe(200);
  });
});
