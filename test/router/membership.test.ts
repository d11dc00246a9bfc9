import { describe, expect, it } from 'vitest';
import { BackendHeader } from '../../src/model/backend-protocol.js';
import { createLayout, createState, RouterHarness, type Reply } from './support/router-harness.js';

/** Connections of a replica of which one router's share is a single connection. */
const CONNECTIONS_FOR_ONE_ATTEMPT = 16;

function publishGone(harness: RouterHarness): void {
  const replicaId = 's0-r0';
  harness.source.publishLivenessReport({
    replicaId,
    incarnation: 1,
    state: 'gone',
    observedBy: 'platform',
  });
}

describe('attempts that wait for a connection', () => {
  async function startWaiting(mark: 'true' | 'false') {
    const harness = await RouterHarness.start({
      shards: 1,
      replicas: 1,
      connections: CONNECTIONS_FOR_ONE_ATTEMPT,
    });
    const backend = harness.backend('s0-r0');
    backend.latency = 20;
    backend.tamper = ({ headers }) => void (headers[BackendHeader.Draining] = mark);
    const queries = [1, 2, 3].map((number) =>
      harness.send({ requestId: `request-${number}`, deadlineMs: 10_000 }),
    );
    await harness.clock.advance(10);
    expect(harness.backend('s0-r0').attempts).toHaveLength(1);
    return { harness, queries };
  }

  function codesOf(replies: Reply[]): (string | undefined)[] {
    return replies.map(({ error }) => error?.code);
  }

  it('all end at once when an earlier reply says that the replica is draining', async () => {
    const { harness, queries } = await startWaiting('true');
    const before = harness.clock.now();
    const replies = await harness.clock.runUntil(Promise.all(queries));
    expect(codesOf(replies)).toEqual([undefined, 'refused_not_run', 'refused_not_run']);
    expect(harness.clock.now() - before).toBe(10);
  });

  it('cause no runtime warning when there is one for each of 24 shards', async () => {
    const warnings: string[] = [];
    const onWarning = ({ name }: Error): void => void warnings.push(name);
    process.on('warning', onWarning);
    const options = { shards: 24, replicas: 1, connections: CONNECTIONS_FOR_ONE_ATTEMPT };
    const harness = await RouterHarness.start(options);
    for (const backend of harness.backends.values()) backend.latency = 20;
    const queries = [1, 2].map((number) => harness.send({ requestId: `request-${number}` }));
    const replies = await harness.clock.runUntil(Promise.all(queries));
    await new Promise((resolve) => setImmediate(resolve));
    process.off('warning', onWarning);
    expect(replies.map(({ status }) => status)).toEqual([200, 200]);
    expect(warnings).toEqual([]);
  });

  it('all end at once when another source says that the replica is gone', async () => {
    const { harness, queries } = await startWaiting('false');
    const before = harness.clock.now();
    publishGone(harness);
    const waiting = await harness.clock.runUntil(Promise.all(queries.slice(1)));
    expect(codesOf(waiting)).toEqual(['refused_not_run', 'refused_not_run']);
    expect(harness.clock.now()).toBe(before);
    expect((await harness.clock.runUntil(queries[0] ?? Promise.reject(new Error()))).status).toBe(
      200,
    );
  });
});

describe('the slots of a replica', () => {
  it('are never exceeded by one router, including hedges and retries', async () => {
    const harness = await RouterHarness.start({ shards: 1, replicas: 2, connections: 400 });
    for (const backend of harness.backends.values()) backend.latency = 30;
    const queries = Array.from({ length: 40 }, (_, index) =>
      harness.send({ requestId: `request-${index}` }),
    );
    await harness.clock.advance(20);
    for (const backend of harness.backends.values()) expect(backend.attempts).toHaveLength(5);
    const replies = await harness.clock.runUntil(Promise.all(queries));
    expect(replies.every(({ status }) => status === 200)).toBe(true);
    for (const { attempts } of harness.backends.values()) {
      const atOnce = attempts.map(({ at }) => attempts.filter((other) => other.at === at).length);
      expect(Math.max(...atOnce)).toBeLessThanOrEqual(5);
    }
  });
});

describe('the state that a replica reports', () => {
  const absurd = ['1.5', '-1', '99999999999999999', 'NaN', '1e3', ''];
  for (const incarnation of absurd) {
    it(`in a reply is ignored when the incarnation is "${incarnation}"`, async () => {
      const harness = await RouterHarness.start({ shards: 1, replicas: 1 });
      harness.backend('s0-r0').tamper = ({ headers }) => {
        headers[BackendHeader.Incarnation] = incarnation;
        headers[BackendHeader.Draining] = 'true';
      };
      expect((await harness.query()).status).toBe(200);
      expect((await harness.query({ requestId: 'request-2' })).status).toBe(200);
      expect(harness.source.reported).toEqual([]);
    });
  }

  for (const incarnation of [1.5, 1e300, -1]) {
    it(`in a report is ignored when the incarnation is ${incarnation}`, async () => {
      const harness = await RouterHarness.start({ shards: 1, replicas: 1 });
      const backend = harness.backend('s0-r0');
      backend.incarnation = incarnation;
      backend.draining = true;
      await harness.clock.advance(1_000);
      expect(harness.source.reported).toEqual([]);
    });
  }
});

describe('a replica that is gone', () => {
  it('gets no attempt again after its removal from the configuration and its return', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    const { source } = harness;
    publishGone(harness);
    const whole = createLayout(1, { shards: 1 });
    const without = createLayout(1, { shards: 1, replicas: 1 });
    const [shard] = without.shards;
    const kept = whole.shards[0]?.replicas.slice(1) ?? [];
    if (shard === undefined) throw new Error('the layout has no shard');
    source.publish(createState(2, {}, [{ ...without, shards: [{ ...shard, replicas: kept }] }]));
    await harness.clock.advance(1_000);
    source.publish(createState(3, {}, [whole]));
    await harness.clock.advance(1_000);
    for (let number = 0; number < 8; number += 1) {
      await harness.query({ requestId: `request-${number}` });
    }
    expect(harness.backend('s0-r0').attempts).toHaveLength(0);
    expect(harness.backend('s0-r1').attempts).toHaveLength(8);
  });
});

describe('a replica that does not report', () => {
  it('gets no new attempt 3 s after its first missed report, while another replica reports', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    const backend = harness.backend('s0-r0');
    backend.dropsReports = true;
    const longestUntilFirstMiss = 600 + 800;
    await harness.clock.advance(longestUntilFirstMiss + 3_000);
    const before = backend.attempts.length;
    for (let number = 0; number < 16; number += 1) {
      await harness.query({ requestId: `request-${number}` });
    }
    expect(backend.attempts).toHaveLength(before);
  });
});
