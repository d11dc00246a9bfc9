import { describe, expect, it } from 'vitest';
import { HttpClientError } from '../../src/errors/http-client-error.js';
import { RouterHarness, type HarnessOptions } from './support/router-harness.js';

function startSingle(options: HarnessOptions = {}): Promise<RouterHarness> {
  return RouterHarness.start({ kind: 'single', shards: 1, replicas: 3, ...options });
}

describe('a single-server service', () => {
  it('queries one replica and reports the coverage of its only shard', async () => {
    const harness = await startSingle();
    const { answer } = await harness.query();
    expect(harness.attempts).toHaveLength(1);
    expect(answer.coverage).toMatchObject({ reached: ['shard-0'], missing: [], fraction: 1 });
    expect(answer.results).toHaveLength(1);
  });

  it('accepts a key, which has no effect', async () => {
    const harness = await startSingle();
    expect((await harness.query({ key: 'any' })).answer.coverage.fraction).toBe(1);
  });

  it('fails at once, with a retry time, when no attempt is left', async () => {
    const settings = { maximumAttemptsPerShard: 2 };
    const harness = await startSingle({ settings });
    for (const backend of harness.backends.values()) {
      backend.tamper = (draft) => void (draft.disposition = 'failed');
    }
    const before = harness.clock.now();
    const { status, error, headers } = await harness.query({ deadlineMs: 10_000 });
    expect(status).toBe(502);
    expect(error).toMatchObject({ code: 'failed', mayHaveRun: true, retryAfterMs: 1_000 });
    expect(headers['retry-after']).toBe('1');
    expect(harness.clock.now() - before).toBeLessThan(100);
    expect(harness.attempts).toHaveLength(2);
  });

  it('fails with 504 at the deadline', async () => {
    const harness = await startSingle();
    for (const backend of harness.backends.values()) backend.latency = Infinity;
    const { status, error } = await harness.query({ deadlineMs: 200 });
    expect(status).toBe(504);
    expect(error).toMatchObject({ code: 'failed', mayHaveRun: true });
  });

  it('leaves the outcome of a request that is not repeatable unknown when its reply is lost', async () => {
    const harness = await startSingle();
    for (const backend of harness.backends.values()) {
      backend.tamper = (draft) => {
        draft.error = new HttpClientError('connection_lost', true, backend.address);
      };
    }
    const { status, error, headers } = await harness.query({ repeatable: false });
    expect(status).toBe(504);
    expect(error).toMatchObject({ code: 'outcome_unknown', mayHaveRun: true });
    expect(headers['retry-after']).toBeUndefined();
    expect(harness.attempts).toHaveLength(1);
  });
});

describe('a request with a key', () => {
  it('causes one attempt, at one replica of one shard, when it is not repeatable', async () => {
    const harness = await RouterHarness.start({ shards: 4 });
    const { answer } = await harness.query({ key: 'family-17', repeatable: false });
    expect(answer.coverage.reached).toHaveLength(1);
    expect(answer.coverage.missing).toEqual([]);
    expect(harness.attempts).toEqual([expect.objectContaining({ started: true })]);
  });

  it('goes to the same shard each time, and fails when that shard is down', async () => {
    const harness = await RouterHarness.start({ shards: 4, settings: { requiredCoverage: 0.5 } });
    const [shard] = (await harness.query({ key: 'family-17' })).answer.coverage.reached;
    const number = shard?.slice('shard-'.length) ?? '';
    for (const replica of ['r0', 'r1']) harness.backend(`s${number}-${replica}`).down = true;
    const { error } = await harness.query({ key: 'family-17', requestId: 'request-2' });
    expect(error).toMatchObject({ code: 'refused_not_run', mayHaveRun: false });
    expect(error.coverage?.missing).toEqual([{ shardId: shard, reason: 'connect_failed' }]);
  });
});
