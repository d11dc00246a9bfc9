import { afterEach, describe, expect, it } from 'vitest';
import { BackendHeader } from '../../../src/model/backend-protocol.js';
import type { BackendOptions } from '../../../lab/backend/backend-options.js';
import { deriveResult, digestQuery } from '../../../lab/ledger/derived-result.js';
import { until } from '../../support/manual-clock.js';
import { BackendFixture, dispositionOf } from './backend-fixture.js';

const running: BackendFixture[] = [];

async function start(options: Partial<BackendOptions> = {}): Promise<BackendFixture> {
  const fixture = await BackendFixture.start(options);
  running.push(fixture);
  return fixture;
}

afterEach(async () => {
  for (const { backend } of running.splice(0)) await backend.crash();
});

describe('Backend', () => {
  it('echoes the identity and answers with data derived from snapshot and query', async () => {
    const fixture = await start();
    const response = await fixture.query({ attemptId: 'attempt-9' });
    expect(response.headers[BackendHeader.AttemptId]).toBe('attempt-9');
    expect(dispositionOf(response)).toBe('answered');
    const origin = {
      service: 'kifu-audit',
      shardId: 'shard-0',
      snapshot: '1.1',
      queryDigest: digestQuery({ text: 'snow' }),
    };
    const result: unknown = JSON.parse(Buffer.from(response.body).toString());
    expect(result).toEqual(deriveResult(origin));
    expect(fixture.ledger.entries[0]).toMatchObject({ ...origin, outcome: 'answered' });
  });

  it('keeps a few snapshots through publish and repartition', async () => {
    const fixture = await start({ keptSnapshots: 2 });
    fixture.backend.publish({ layoutEpoch: 1, indexVersion: 2 });
    fixture.backend.publish({ layoutEpoch: 2, indexVersion: 2 }, ['shard-1']);
    expect(dispositionOf(await fixture.query({ snapshot: '1.1' }))).toBe('snapshot_not_held');
    expect(dispositionOf(await fixture.query({ snapshot: '1.2' }))).toBe('answered');
    expect(dispositionOf(await fixture.query({ snapshot: '2.2' }))).toBe('snapshot_not_held');
    const moved = await fixture.query({ snapshot: '2.2', shardId: 'shard-1' });
    expect(dispositionOf(moved)).toBe('answered');
  });

  it('sheds beyond its queue and expires queued requests, neither begun', async () => {
    const fixture = await start({ slots: 1, queueLimit: 1 });
    fixture.backend.setFault({ kind: 'stall', remaining: 1 });
    const stalled = fixture.failureOf();
    await until(() => fixture.backend.slots.load === 1);
    const queued = fixture.query({ deadline: 50 });
    await until(() => fixture.backend.slots.load === 2);
    expect(dispositionOf(await fixture.query())).toBe('not_started');
    fixture.clock.advance(50);
    expect(dispositionOf(await queued)).toBe('not_started');
    const begun = fixture.ledger.entries.filter(({ startedAt }) => startedAt !== undefined);
    expect(begun).toHaveLength(1);
    await fixture.backend.crash();
    expect(await stalled).toBe('connection_lost');
  });

  it('frees the slot of a cancelled request', async () => {
    const fixture = await start({ slots: 1 });
    fixture.backend.setFault({ kind: 'stall', remaining: 1 });
    const cancel = new AbortController();
    const cancelled = fixture.failureOf({ signal: cancel.signal });
    await until(() => fixture.backend.slots.load === 1);
    cancel.abort();
    expect(await cancelled).toBe('aborted');
    await until(() => fixture.backend.slots.load === 0);
    expect(fixture.ledger.entries[0]?.outcome).toBe('cancelled');
    expect(dispositionOf(await fixture.query())).toBe('answered');
  });

  it('gives up at the deadline and says that it had begun', async () => {
    const fixture = await start({
      serviceTime: {
        distribution: { kind: 'constant', mean: 60_000 },
        stragglers: { share: 0, minimumFactor: 1, maximumFactor: 1 },
      },
    });
    const given = fixture.query({ deadline: 20 });
    await until(() => fixture.backend.slots.load === 1);
    fixture.clock.advance(20);
    expect(dispositionOf(await given)).toBe('failed');
    expect(fixture.ledger.entries[0]?.startedAt).toBeDefined();
  });

  it('finishes what is in flight when it drains, and begins nothing new', async () => {
    const fixture = await start({
      serviceTime: {
        distribution: { kind: 'constant', mean: 100 },
        stragglers: { share: 0, minimumFactor: 1, maximumFactor: 1 },
      },
    });
    const inFlight = fixture.query();
    await until(() => fixture.backend.slots.load === 1);
    fixture.backend.drain();
    const refused = await fixture.query();
    expect(dispositionOf(refused)).toBe('not_started');
    expect(refused.headers[BackendHeader.Draining]).toBe('true');
    const stopped = fixture.backend.stop();
    fixture.clock.advance(100);
    expect(dispositionOf(await inFlight)).toBe('answered');
    await stopped;
    expect(await fixture.failureOf()).toBe('connect_failed');
  });

  it('comes back from a crash on the same port as a larger incarnation', async () => {
    const fixture = await start();
    const { address, incarnation } = fixture.backend;
    await fixture.backend.crash();
    expect(await fixture.failureOf()).toBe('connect_failed');
    await fixture.backend.restart();
    expect(fixture.backend.address).toEqual(address);
    expect(fixture.backend.incarnation).toBeGreaterThan(incarnation);
    expect(dispositionOf(await fixture.query())).toBe('answered');
  });
});

describe('Backend faults', () => {
  it('truncates a reply in the middle of its body', async () => {
    const fixture = await start();
    fixture.backend.setFault({ kind: 'truncate', remaining: 1 });
    expect(await fixture.failureOf()).toBe('response_truncated');
    expect(fixture.ledger.entries[0]).toMatchObject({ outcome: 'answered', faults: ['truncate'] });
    expect(dispositionOf(await fixture.query())).toBe('answered');
  });

  it('echoes a wrong attempt id, and replies with what belongs to another request', async () => {
    const fixture = await start();
    fixture.backend.setFault({ kind: 'wrong_id', remaining: 1 });
    const misnamed = await fixture.query({ attemptId: 'attempt-1' });
    expect(misnamed.headers[BackendHeader.AttemptId]).not.toBe('attempt-1');
    fixture.backend.setFault({ kind: 'foreign_reply', remaining: 1 });
    const foreign = await fixture.query({ attemptId: 'attempt-2' });
    expect(foreign.headers[BackendHeader.AttemptId]).toBe('attempt-1');
  });

  it('replies after the deadline', async () => {
    const fixture = await start();
    fixture.backend.setFault({ kind: 'late_reply', delayMs: 10 });
    const late = fixture.query({ deadline: 40 });
    await until(() => fixture.ledger.entries[0]?.faults.includes('late_reply') === true);
    fixture.clock.advance(50);
    expect(dispositionOf(await late)).toBe('answered');
    expect(fixture.ledger.entries[0]?.endedAt).toBe(50);
  });

  it('loses a reply although the request was run', async () => {
    const fixture = await start();
    fixture.backend.setFault({ kind: 'lose_reply' });
    expect(await fixture.failureOf()).toBe('connection_lost');
    expect(fixture.ledger.entries[0]?.outcome).toBe('answered');
  });
});
