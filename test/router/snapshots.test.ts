import { describe, expect, it } from 'vitest';
import { createLayout, createState, RouterHarness } from './support/router-harness.js';
import type { Reply } from './support/router-harness.js';

/** Distinct snapshots that the back ends used for the results of an answer. */
function snapshotsOf(reply: Reply): string[] {
  const results = reply.answer.results.map(({ result }) => result as { snapshot: string });
  return [...new Set(results.map(({ snapshot }) => snapshot))];
}

async function startHalfPublished(faults = {}): Promise<RouterHarness> {
  const harness = await RouterHarness.start({ shards: 3, faults });
  for (const replica of ['s0-r0', 's0-r1', 's1-r0']) {
    harness.backend(replica).snapshots = ['1.1', '1.2'];
  }
  await harness.clock.advance(1_000);
  return harness;
}

describe('the snapshot of an answer', () => {
  it('is the newest one that every shard holds', async () => {
    const harness = await startHalfPublished();
    expect(snapshotsOf(await harness.query())).toEqual(['1.1']);
    harness.backend('s2-r1').snapshots = ['1.1', '1.2'];
    await harness.clock.advance(1_000);
    const reply = await harness.query();
    expect(snapshotsOf(reply)).toEqual(['1.2']);
    expect(reply.answer.snapshot).toEqual({ layoutEpoch: 1, indexVersion: 2 });
  });

  it('is not the same for all shards under the fault that merges across snapshots', async () => {
    const harness = await startHalfPublished({ mergeAcrossSnapshots: true });
    expect(snapshotsOf(await harness.query())).toHaveLength(2);
  });

  it('is of an older layout while not every shard holds the newest layout', async () => {
    const harness = await startHalfPublished();
    const [old, next] = [createLayout(1, { shards: 3 }), createLayout(2, { shards: 2 })];
    harness.backend('s0-r0').snapshots.push('2.2');
    harness.source.publish(createState(2, {}, [old, next]));
    await harness.clock.advance(1_000);
    const before = await harness.query();
    expect(before.answer.snapshot.layoutEpoch).toBe(1);
    expect(before.answer.settingsRevision).toBe(2);
    harness.backend('s1-r0').snapshots.push('2.2');
    await harness.clock.advance(1_000);
    const after = await harness.query();
    expect(snapshotsOf(after)).toEqual(['2.2']);
    expect(after.answer.coverage.reached).toEqual(['shard-0', 'shard-1']);
  });

  it('is the newest one held by enough shards when none is held by all', async () => {
    const harness = await RouterHarness.start({ shards: 3, settings: { requiredCoverage: 0.6 } });
    harness.backend('s2-r0').snapshots = [];
    harness.backend('s2-r1').snapshots = [];
    await harness.clock.advance(1_000);
    const { answer } = await harness.query();
    expect(answer.coverage.reached).toEqual(['shard-0', 'shard-1']);
    expect(answer.coverage.missing).toEqual([{ shardId: 'shard-2', reason: 'snapshot_not_held' }]);
  });

  it('is one that every shard holds rather than a newer one that suffices', async () => {
    const harness = await RouterHarness.start({ shards: 3, settings: { requiredCoverage: 0.6 } });
    for (const replica of ['s0-r0', 's1-r0']) harness.backend(replica).snapshots.push('1.2');
    await harness.clock.advance(1_000);
    const reply = await harness.query();
    expect(snapshotsOf(reply)).toEqual(['1.1']);
    expect(reply.answer.coverage.missing).toEqual([]);
  });

  it('is replanned when no replica of a shard holds the planned snapshot any more', async () => {
    const harness = await RouterHarness.start({ shards: 3 });
    for (const backend of harness.backends.values()) backend.snapshots = ['1.1', '1.2'];
    await harness.clock.advance(1_000);
    for (const replica of ['s2-r0', 's2-r1']) harness.backend(replica).snapshots = ['1.1'];
    const reply = await harness.query();
    expect(reply.status).toBe(200);
    expect(snapshotsOf(reply)).toEqual(['1.1']);
    expect(reply.answer.coverage.missing).toEqual([]);
    expect(reply.answer.attempts.primary).toBe(6);
  });

  it('is requested from every replica of a shard without charging the retry budget', async () => {
    const settings = { retryBudgetPercent: 0, maximumAttemptsPerShard: 4 };
    const harness = await RouterHarness.start({ shards: 3, replicas: 4, settings });
    for (const backend of harness.backends.values()) backend.snapshots = ['1.1', '1.2'];
    await harness.clock.advance(1_000);
    for (const replica of ['s2-r0', 's2-r1', 's2-r2']) {
      harness.backend(replica).snapshots = ['1.1'];
    }
    for (let number = 0; number < 30; number += 1) {
      const reply = await harness.query({ requestId: `request-${number}` });
      expect(snapshotsOf(reply)).toEqual(['1.2']);
    }
  });

  it('is replanned only once, and the second execution shares nothing with the first', async () => {
    const settings = { requiredCoverage: 0.6 };
    const harness = await RouterHarness.start({ shards: 3, replicas: 1, settings });
    for (const backend of harness.backends.values()) backend.snapshots = ['1.1', '1.2', '1.3'];
    await harness.clock.advance(1_000);
    for (const replica of ['s1-r0', 's2-r0']) harness.backend(replica).snapshots = ['1.1'];
    const { status, error } = await harness.query();
    expect(status).toBe(503);
    expect(error.coverage?.reached).toEqual(['shard-0']);
    const attempts = [...harness.backends.values()].flatMap((backend) => backend.attempts);
    const asked = ['1.3', '1.3', '1.3', '1.2', '1.2', '1.2'];
    expect(attempts.map(({ snapshot }) => snapshot).sort()).toEqual(asked.sort());
    expect(new Set(attempts.map(({ attemptId }) => attemptId)).size).toBe(6);
  });

  it('is another one after replanning, even when the first would still suffice', async () => {
    const settings = { requiredCoverage: 0.6, maximumAttemptsPerShard: 1 };
    const harness = await RouterHarness.start({ shards: 3, replicas: 1, settings });
    for (const backend of harness.backends.values()) backend.snapshots = ['1.1', '1.2'];
    harness.backend('s2-r0').snapshots = ['1.2'];
    await harness.clock.advance(1_000);
    harness.backend('s2-r0').snapshots = [];
    harness.backend('s1-r0').tamper = (draft, { snapshot }) => {
      if (snapshot === '1.2') draft.disposition = 'failed';
    };
    const reply = await harness.query();
    expect(snapshotsOf(reply)).toEqual(['1.1']);
    expect(reply.answer.coverage.reached).toEqual(['shard-0', 'shard-1']);
  });

  it('is not replanned when the shard is missing for another reason', async () => {
    const harness = await RouterHarness.start({ shards: 3 });
    for (const backend of harness.backends.values()) backend.snapshots = ['1.1', '1.2'];
    await harness.clock.advance(1_000);
    for (const replica of ['s2-r0', 's2-r1']) harness.backend(replica).down = true;
    harness.backend('s1-r0').snapshots = ['1.1'];
    for (let number = 0; number < 8; number += 1) {
      const { status } = await harness.query({ requestId: `request-${number}` });
      expect(status).toBe(503);
    }
    const attempts = [...harness.backends.values()].flatMap((backend) => backend.attempts);
    expect(new Set(attempts.map(({ snapshot }) => snapshot))).toEqual(new Set(['1.2']));
  });

  it('is not replanned for a request that is not repeatable', async () => {
    const harness = await RouterHarness.start({ shards: 3 });
    for (const backend of harness.backends.values()) backend.snapshots = ['1.1', '1.2'];
    await harness.clock.advance(1_000);
    for (const replica of ['s2-r0', 's2-r1']) harness.backend(replica).snapshots = ['1.1'];
    const { error } = await harness.query({ repeatable: false });
    expect(error).toMatchObject({ code: 'outcome_unknown', mayHaveRun: true });
    expect(harness.attempts.filter(({ started }) => started)).toHaveLength(2);
  });

  it('is requested from only the one shard that holds the key', async () => {
    const harness = await RouterHarness.start({ shards: 3 });
    const asked = new Set<string>();
    for (const key of ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']) {
      const { answer } = await harness.query({ key });
      expect(answer.coverage.reached).toHaveLength(1);
      expect(answer.attempts.primary).toBe(1);
      for (const shard of answer.coverage.reached) asked.add(shard);
    }
    expect(asked.size).toBe(3);
  });
});

describe('coverage', () => {
  const settings = { requiredCoverage: 0.5, maximumAttemptsPerShard: 1 };

  it('names every shard of the layout once, reached or missing with its reason', async () => {
    const harness = await RouterHarness.start({ shards: 4, replicas: 1, settings });
    harness.backend('s1-r0').down = true;
    harness.backend('s3-r0').latency = Infinity;
    const { answer } = await harness.query({ deadlineMs: 100 });
    expect(answer.coverage).toEqual({
      required: 0.5,
      reached: ['shard-0', 'shard-2'],
      missing: [
        { shardId: 'shard-1', reason: 'connect_failed' },
        { shardId: 'shard-3', reason: 'deadline' },
      ],
      fraction: 0.5,
    });
    expect(answer.results.map(({ shardId }) => shardId)).toEqual(['shard-0', 'shard-2']);
  });

  it('lists shards without a result under the fault that claims unreached shards', async () => {
    const faults = { claimUnreachedShard: true };
    const harness = await RouterHarness.start({ shards: 4, replicas: 1, settings, faults });
    harness.backend('s1-r0').down = true;
    const { answer } = await harness.query({ deadlineMs: 100 });
    expect(answer.coverage.reached).toHaveLength(4);
    expect(answer.results).toHaveLength(3);
  });

  it('can be raised by the request, but not lowered', async () => {
    const harness = await RouterHarness.start({ shards: 4, replicas: 1, settings });
    harness.backend('s1-r0').down = true;
    expect((await harness.query({ requiredCoverage: 0.1 })).answer.coverage.required).toBe(0.5);
    const { status, error } = await harness.query({ requiredCoverage: 1 });
    expect(status).toBe(503);
    expect(error).toMatchObject({ code: 'insufficient_coverage', mayHaveRun: true });
    expect(error.coverage?.reached.length).toBeLessThan(4);
  });
});
