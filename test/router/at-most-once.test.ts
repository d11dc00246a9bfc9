import { describe, expect, it } from 'vitest';
import { HttpClientError } from '../../src/errors/http-client-error.js';
import type { FakeBackend } from './support/fake-backend.js';
import { RouterHarness } from './support/router-harness.js';

const NOT_REPEATABLE = { repeatable: false };

function loseReplies(backend: FakeBackend): void {
  backend.tamper = (draft) => {
    draft.error = new HttpClientError('connection_lost', true, backend.address);
  };
}

function shed(backend: FakeBackend): void {
  backend.tamper = (draft) => {
    draft.disposition = 'not_started';
  };
}

function startedCount(harness: RouterHarness): number {
  return harness.attempts.filter(({ started }) => started).length;
}

async function startLosingReplies(faults = {}): Promise<RouterHarness> {
  const harness = await RouterHarness.start({ shards: 1, faults });
  for (const backend of harness.backends.values()) loseReplies(backend);
  return harness;
}

describe('a not repeatable request', () => {
  it('is not sent again once it may have been run', async () => {
    const harness = await startLosingReplies();
    const { status, error } = await harness.query(NOT_REPEATABLE);
    expect(status).toBe(504);
    expect(error).toMatchObject({ code: 'outcome_unknown', mayHaveRun: true });
    expect(startedCount(harness)).toBe(1);
  });

  it('is seen to be run twice when it is treated as repeatable', async () => {
    const harness = await startLosingReplies({ retryNotRepeatable: true });
    await harness.query(NOT_REPEATABLE);
    expect(startedCount(harness)).toBeGreaterThan(1);
  });

  it('is not sent again when a retry after a rejection may have been run', async () => {
    const harness = await RouterHarness.start({
      shards: 1,
      settings: { maximumAttemptsPerShard: 5 },
    });
    for (const backend of harness.backends.values()) {
      backend.tamper = (draft) => {
        if (harness.attempts.length === 1) draft.disposition = 'not_started';
        else draft.error = new HttpClientError('connection_lost', true, backend.address);
      };
    }
    expect((await harness.query(NOT_REPEATABLE)).error.code).toBe('outcome_unknown');
    expect(harness.attempts).toHaveLength(2);
  });

  it('is sent to a sibling after a rejection and after a refused connection', async () => {
    const harness = await RouterHarness.start({ shards: 1, replicas: 3 });
    shed(harness.backend('s0-r0'));
    harness.backend('s0-r1').down = true;
    for (const number of [1, 2, 3, 4]) {
      const { status } = await harness.query({ ...NOT_REPEATABLE, requestId: `request-${number}` });
      expect(status).toBe(200);
    }
    expect(startedCount(harness)).toBe(4);
  });

  it('gets a connection that has carried nothing before', async () => {
    const harness = await RouterHarness.start({ shards: 1, replicas: 1 });
    await harness.query(NOT_REPEATABLE);
    await harness.query({ requestId: 'request-2' });
    expect(harness.backend('s0-r0').attempts.map(({ fresh }) => fresh)).toEqual([true, false]);
  });
});

describe('a resend of a not repeatable request', () => {
  it('joins the first while it runs, and gets its outcome afterwards', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    const both = [
      harness.send(NOT_REPEATABLE),
      harness.send({ ...NOT_REPEATABLE, deadlineMs: 500 }),
    ] as const;
    const [first, second] = await harness.clock.runUntil(Promise.all(both));
    expect(second.answer).toEqual(first.answer);
    expect((await harness.query(NOT_REPEATABLE)).answer).toEqual(first.answer);
    expect(startedCount(harness)).toBe(1);
  });

  it('is answered before its own deadline when the first takes longer', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    for (const backend of harness.backends.values()) backend.latency = 800;
    const first = harness.send(NOT_REPEATABLE);
    const before = harness.clock.now();
    const resend = await harness.query({ ...NOT_REPEATABLE, deadlineMs: 100 });
    expect(harness.clock.now() - before).toBeLessThan(100);
    expect(resend.error).toMatchObject({ code: 'outcome_unknown', mayHaveRun: true });
    const { answer } = await harness.clock.runUntil(first);
    expect((await harness.query(NOT_REPEATABLE)).answer).toEqual(answer);
    expect(startedCount(harness)).toBe(1);
  });

  it('learns the outcome of a first try whose caller went away', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    const gone = new AbortController();
    const first = harness.send(NOT_REPEATABLE, gone.signal);
    gone.abort();
    await harness.clock.runUntil(first);
    expect((await harness.query(NOT_REPEATABLE)).status).toBe(200);
    expect(startedCount(harness)).toBe(1);
  });

  it('gets an unknown outcome again, without being run', async () => {
    const harness = await startLosingReplies();
    await harness.query(NOT_REPEATABLE);
    expect((await harness.query(NOT_REPEATABLE)).error.code).toBe('outcome_unknown');
    expect(startedCount(harness)).toBe(1);
  });

  it('is not run when its outcome is no longer kept', async () => {
    const limits = { maximumRecordedOutcomes: 1 };
    const harness = await RouterHarness.start({ shards: 1, limits });
    await harness.query(NOT_REPEATABLE);
    await harness.query({ ...NOT_REPEATABLE, requestId: 'request-2' });
    const { error } = await harness.query(NOT_REPEATABLE);
    expect(error).toMatchObject({ code: 'outcome_unknown', mayHaveRun: true });
    expect(startedCount(harness)).toBe(2);
  });

  it('is run when the first was refused as not run', async () => {
    const harness = await RouterHarness.start({ shards: 1, replicas: 1 });
    harness.backend('s0-r0').down = true;
    expect((await harness.query(NOT_REPEATABLE)).error.code).toBe('refused_not_run');
    harness.backend('s0-r0').down = false;
    expect((await harness.query(NOT_REPEATABLE)).status).toBe(200);
  });

  it('with another body is a bad request', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    await harness.query(NOT_REPEATABLE);
    for (const other of [{ ...NOT_REPEATABLE, query: 'other' }, { repeatable: true }]) {
      const { status, error } = await harness.query(other);
      expect(status).toBe(400);
      expect(error).toMatchObject({ code: 'bad_request', path: 'requestId' });
    }
    expect(startedCount(harness)).toBe(1);
  });

  it('marked as one is not run by a router that does not know the first', async () => {
    const [harness, other] = [await RouterHarness.start(), await RouterHarness.start()];
    const { answer } = await harness.query(NOT_REPEATABLE);
    const resend = { ...NOT_REPEATABLE, resend: true };
    const { status, error } = await other.query(resend);
    expect(status).toBe(504);
    expect(error).toMatchObject({ code: 'outcome_unknown', mayHaveRun: true });
    expect(other.attempts).toHaveLength(0);
    expect((await harness.query(resend)).answer).toEqual(answer);
    expect((await other.query({ repeatable: true, resend: true })).status).toBe(200);
  });

  it('is refused, not run, when no further id can be remembered', async () => {
    const limits = { maximumRecordedOutcomes: 1 };
    const harness = await RouterHarness.start({ shards: 1, limits });
    for (let number = 1; number <= 10; number += 1) {
      await harness.query({ ...NOT_REPEATABLE, requestId: `request-${number}` });
    }
    const { error, headers } = await harness.query({ ...NOT_REPEATABLE, requestId: 'request-11' });
    expect(error.code).toBe('refused_not_run');
    expect(Number(headers['retry-after'])).toBeGreaterThan(3_000);
    await harness.clock.advance(3_600_000);
    expect((await harness.query({ ...NOT_REPEATABLE, requestId: 'request-11' })).status).toBe(200);
  });
});

describe('"not run"', () => {
  it('is said when every attempt was rejected or never sent', async () => {
    const harness = await RouterHarness.start({ shards: 2 });
    for (const backend of harness.backends.values()) shed(backend);
    harness.backend('s1-r0').down = true;
    const { status, error, headers } = await harness.query();
    expect(status).toBe(503);
    expect(error).toMatchObject({ code: 'refused_not_run', mayHaveRun: false });
    expect(headers['retry-after']).toBe('1');
    expect(startedCount(harness)).toBe(0);
  });

  it('is not said when one attempt of any shard may have been run', async () => {
    const harness = await RouterHarness.start({ shards: 2 });
    for (const backend of harness.backends.values()) shed(backend);
    for (const replica of ['s1-r0', 's1-r1']) loseReplies(harness.backend(replica));
    const { error } = await harness.query();
    expect(error).toMatchObject({ code: 'insufficient_coverage', mayHaveRun: true });
  });

  it('is not said of attempts cancelled in flight', async () => {
    const harness = await RouterHarness.start({ shards: 2 });
    for (const replica of ['s0-r0', 's0-r1']) harness.backend(replica).latency = Infinity;
    for (const replica of ['s1-r0', 's1-r1']) harness.backend(replica).down = true;
    const { error } = await harness.query();
    expect(error).toMatchObject({ code: 'insufficient_coverage', mayHaveRun: true });
    expect(startedCount(harness)).toBe(1);
  });

  it('is seen to be false when it is claimed after sending', async () => {
    const harness = await startLosingReplies({ claimNotRunAfterSending: true });
    expect((await harness.query()).error.code).toBe('refused_not_run');
    expect(startedCount(harness)).toBeGreaterThan(0);
  });
});
