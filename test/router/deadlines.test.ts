import { describe, expect, it } from 'vitest';
import { RouterHarness } from './support/router-harness.js';

describe('deadlines', () => {
  it('reach the back ends as the time left', async () => {
    const harness = await RouterHarness.start({ shards: 1, replicas: 1 });
    harness.backend('s0-r0').tamper = (draft, entry) => {
      if (harness.backend('s0-r0').attempts[0] !== entry) return;
      draft.latency = 50;
      draft.disposition = 'not_started';
    };
    await harness.query({ deadlineMs: 200 });
    const [first, second] = harness.backend('s0-r0').attempts;
    expect(first?.deadlineMs).toBe(195);
    expect(second?.deadlineMs).toBeGreaterThan(0);
    expect(second?.deadlineMs).toBeLessThanOrEqual(145);
  });

  it('end a query before the moment the answer is of no more use, and cancel the rest', async () => {
    const harness = await RouterHarness.start({ shards: 2, settings: { requiredCoverage: 0.5 } });
    for (const replica of ['s1-r0', 's1-r1']) harness.backend(replica).latency = Infinity;
    const sentAt = harness.clock.now();
    const { status, answer } = await harness.query({ deadlineMs: 300 });
    expect(harness.clock.now() - sentAt).toBeLessThan(300);
    expect(status).toBe(200);
    expect(answer.coverage.missing).toEqual([{ shardId: 'shard-1', reason: 'deadline' }]);
    const stuck = ['s1-r0', 's1-r1'].flatMap((replica) => harness.backend(replica).attempts);
    expect(stuck.map(({ cancelled }) => cancelled)).toEqual([true]);
  });

  it('are cut to the longest the service allows, and default to its own', async () => {
    const settings = { maximumDeadlineMs: 400, defaultDeadlineMs: 100 };
    const harness = await RouterHarness.start({ shards: 1, replicas: 1, settings });
    await harness.query({ deadlineMs: 600_000 });
    await harness.query();
    const deadlines = harness.backend('s0-r0').attempts.map(({ deadlineMs }) => deadlineMs);
    expect(deadlines).toEqual([395, 95]);
  });

  it('that passed before anything could be sent are refused as not run', async () => {
    const harness = await RouterHarness.start({
      shards: 1,
      replicas: 1,
      settings: { maximumInFlight: 1 },
    });
    harness.backend('s0-r0').latency = 100;
    const first = harness.send({});
    const second = harness.send({ requestId: 'request-2', deadlineMs: 20 });
    const { status, error } = await harness.clock.runUntil(second);
    expect(status).toBe(429);
    expect(error).toMatchObject({ code: 'refused_not_run', mayHaveRun: false });
    await harness.clock.runUntil(first);
    expect(harness.attempts).toHaveLength(1);
  });
});

describe('a query that cannot succeed any more', () => {
  it('is answered at once, with when to come back', async () => {
    const harness = await RouterHarness.start({ shards: 3 });
    for (const replica of ['s0-r0', 's0-r1']) harness.backend(replica).down = true;
    for (const replica of ['s1-r0', 's1-r1']) harness.backend(replica).latency = Infinity;
    const sentAt = harness.clock.now();
    const { status, headers } = await harness.query({ deadlineMs: 30_000 });
    expect(status).toBe(503);
    expect(headers['retry-after']).toBe('1');
    expect(harness.clock.now() - sentAt).toBeLessThan(100);
    const stuck = ['s1-r0', 's1-r1'].flatMap((replica) => harness.backend(replica).attempts);
    expect(stuck.every(({ cancelled }) => cancelled)).toBe(true);
  });

  it('fails with a clear error once the answer grows too large', async () => {
    const settings = { maximumAnswerBytes: 1_024 };
    const harness = await RouterHarness.start({ shards: 2, settings });
    for (const backend of harness.backends.values()) {
      backend.tamper = (draft) => void (draft.body = JSON.stringify('x'.repeat(600)));
    }
    const { status, error } = await harness.query();
    expect(status).toBe(502);
    expect(error).toMatchObject({ code: 'failed', mayHaveRun: true });
    expect(error.message).toContain('maximumAnswerBytes');
  });
});

describe('replies that arrive slowly', () => {
  const settings = { maximumAnswerBytes: 1_024 };

  it('hold no more memory than two answers, and end the query once they would', async () => {
    const harness = await RouterHarness.start({ shards: 8, settings });
    for (const backend of harness.backends.values()) {
      backend.latency = Infinity;
      backend.bytesAtOnce = 400;
    }
    const before = harness.clock.now();
    const { status, error } = await harness.query({ deadlineMs: 10_000 });
    expect(status).toBe(502);
    expect(error.message).toContain('maximumAnswerBytes');
    expect(harness.clock.now()).toBe(before);
    expect(harness.attempts.length).toBeLessThan(8);
  });

  it('give their memory back when they fail', async () => {
    const harness = await RouterHarness.start({
      shards: 1,
      replicas: 1,
      settings: { ...settings, maximumAttemptsPerShard: 10, retryBudgetPercent: 100 },
    });
    const backend = harness.backend('s0-r0');
    backend.bytesAtOnce = 900;
    backend.tamper = (draft) => {
      if (backend.attempts.length < 6) draft.disposition = 'failed';
    };
    const { status } = await harness.query();
    expect(status).toBe(200);
    expect(backend.attempts).toHaveLength(6);
  });
});

describe('a caller that is gone', () => {
  it('has its attempts cancelled', async () => {
    const harness = await RouterHarness.start({ shards: 2 });
    for (const backend of harness.backends.values()) backend.latency = Infinity;
    const gone = new AbortController();
    const query = harness.send({ deadlineMs: 10_000 }, gone.signal);
    await harness.clock.advance(10);
    const before = harness.clock.now();
    gone.abort();
    await harness.clock.runUntil(query);
    expect(harness.clock.now()).toBe(before);
    const ledger = [...harness.backends.values()].flatMap((backend) => backend.attempts);
    expect(ledger).toHaveLength(2);
    expect(ledger.every(({ cancelled }) => cancelled)).toBe(true);
  });
});

describe('connections of one replica', () => {
  it('are not exceeded; further attempts wait for one', async () => {
    const harness = await RouterHarness.start({ shards: 1, replicas: 1, connections: 16 });
    const backend = harness.backend('s0-r0');
    backend.latency = 10;
    const queries = Array.from({ length: 6 }, (_, index) =>
      harness.send({ requestId: `request-${index}` }),
    );
    await harness.clock.advance(5);
    expect(backend.attempts).toHaveLength(1);
    const replies = await harness.clock.runUntil(Promise.all(queries));
    expect(replies.map(({ status }) => status)).toEqual(Array<number>(6).fill(200));
  });
});
