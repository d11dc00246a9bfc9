import { describe, expect, it } from 'vitest';
import { createLayout, createState, RouterHarness } from './support/router-harness.js';
import type { Reply } from './support/router-harness.js';

/** Snapshots that the results of an answer were really drawn from. */
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

describe('one snapshot an answer', () => {
  it('draws from the newest snapshot that every shard holds', async () => {
    const harness = await startHalfPublished();
    expect(snapshotsOf(await harness.query())).toEqual(['1.1']);
    harness.backend('s2-r1').snapshots = ['1.1', '1.2'];
    await harness.clock.advance(1_000);
    const reply = await harness.query();
    expect(snapshotsOf(reply)).toEqual(['1.2']);
    expect(reply.answer.snapshot).toEqual({ layoutEpoch: 1, indexVersion: 2 });
  });

  it('is seen to be broken when each replica is asked for its own newest', async () => {
    const harness = await startHalfPublished({ mergeAcrossSnapshots: true });
    expect(snapshotsOf(await harness.query())).toHaveLength(2);
  });

  it('takes an older layout when the newest one is not held everywhere', async () => {
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

  it('settles for the newest held by enough shards when none is held by all', async () => {
    const harness = await RouterHarness.start({ shards: 3, settings: { requiredCoverage: 0.6 } });
    harness.backend('s2-r0').snapshots = [];
    harness.backend('s2-r1').snapshots = [];
    await harness.clock.advance(1_000);
    const { answer } = await harness.query();
    expect(answer.coverage.reached).toEqual(['shard-0', 'shard-1']);
    expect(answer.coverage.missing).toEqual([{ shardId: 'shard-2', reason: 'snapshot_not_held' }]);
  });

  it('prefers a snapshot that every shard holds to a newer one that suffices', async () => {
    const harness = await RouterHarness.start({ shards: 3, settings: { requiredCoverage: 0.6 } });
    for (const replica of ['s0-r0', 's1-r0']) harness.backend(replica).snapshots.push('1.2');
    await harness.clock.advance(1_000);
    const reply = await harness.query();
    expect(snapshotsOf(reply)).toEqual(['1.1']);
    expect(reply.answer.coverage.missing).toEqual([]);
  });

  it('plans afresh once when the snapshot vanished after the plan', async () => {
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

  it('asks every sibling for the snapshot, without charging the retry budget', async () => {
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

  it('plans afresh only once, and shares nothing between the tries', async () => {
    const settings = { requiredCoverage: 0.6 };
    const harness = await RouterHarness.start({ shards: 3, replicas: 1, settings });
    for (const backend of harness.backends.values()) backend.snapshots = ['1.1', '1.2', '1.3'];
    await harness.clock.advance(1_000);
    for (const replica of ['s1-r0', 's2-r0']) harness.backend(replica).snapshots = ['1.1'];
    const { status, error } = await harness.query();
    expect(status).toBe(503);
    expect(error.coverage?.reached).toEqual(['shard-0']);
    const ledger = [...harness.backends.values()].flatMap((backend) => backend.attempts);
    const asked = ['1.3', '1.3', '1.3', '1.2', '1.2', '1.2'];
    expect(ledger.map(({ snapshot }) => snapshot).sort()).toEqual(asked.sort());
    expect(new Set(ledger.map(({ attemptId }) => attemptId)).size).toBe(6);
  });

  it('plans afresh on another snapshot, even where the first would still suffice', async () => {
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

  it('does not plan afresh when the snapshot is not what is missing', async () => {
    const harness = await RouterHarness.start({ shards: 3 });
    for (const backend of harness.backends.values()) backend.snapshots = ['1.1', '1.2'];
    await harness.clock.advance(1_000);
    for (const replica of ['s2-r0', 's2-r1']) harness.backend(replica).down = true;
    harness.backend('s1-r0').snapshots = ['1.1'];
    for (let number = 0; number < 8; number += 1) {
      const { status } = await harness.query({ requestId: `request-${number}` });
      expect(status).toBe(503);
    }
    const ledger = [...harness.backends.values()].flatMap((backend) => backend.attempts);
    expect(new Set(ledger.map(({ snapshot }) => snapshot))).toEqual(new Set(['1.2']));
  });

  it('does not plan a not repeatable request afresh', async () => {
    const harness = await RouterHarness.start({ shards: 3 });
    for (const backend of harness.backends.values()) backend.snapshots = ['1.1', '1.2'];
    await harness.clock.advance(1_000);
    for (const replica of ['s2-r0', 's2-r1']) harness.backend(replica).snapshots = ['1.1'];
    const { error } = await harness.query({ repeatable: false });
    expect(error).toMatchObject({ code: 'outcome_unknown', mayHaveRun: true });
    expect(harness.attempts.filter(({ started }) => started)).toHaveLength(2);
  });

  it('asks the one shard that holds the key', async () => {
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

  it('is seen to be false when unreached shards are claimed', async () => {
    const faults = { claimUnreachedShard: true };
    const harness = await RouterHarness.start({ shards: 4, replicas: 1, settings, faults });
    harness.backend('s1-r0').down = true;
    const { answer } = await harness.query({ deadlineMs: 100 });
    expect(answer.coverage.reached).toHaveLength(4);
    expect(answer.results).toHaveLength(3);
  });

  it('can be made stricter by the request, not looser', async () => {
    const harness = await RouterHarness.start({ shards: 4, replicas: 1, settings });
    harness.backend('s1-r0').down = true;
    expect((await harness.query({ requiredCoverage: 0.1 })).answer.coverage.required).toBe(0.5);
    const { status, error } = await harness.query({ requiredCoverage: 1 });
    expect(status).toBe(503);
    expect(error).toMatchObject({ code: 'insufficient_coverage', mayHaveRun: true });
    expect(error.coverage?.reached.length).toBeLessThan(4);
  });
});
