import { describe, expect, it } from 'vitest';
import type { RouterFaults } from '../../src/router/router-faults.js';
import { findGuaranteeViolations } from './support/guarantee-violations.js';
import { RouterHarness } from './support/router-harness.js';
import { FailureRun } from './support/failure-run.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** The promise that each switch breaks. */
const VIOLATED_GUARANTEES: Readonly<Partial<Record<keyof RouterFaults, string>>> = {
  mergeAcrossSnapshots: 'mixedSnapshot',
  skipReplyMatching: 'foreignReply',
  claimUnreachedShard: 'falseCoverage',
  claimNotRunAfterSending: 'falseNotRun',
  retryNotRepeatable: 'duplicateRun',
  ignoreDrain: 'workAfterLeaving',
};

describe('a crash during a publish', () => {
  it('of the only holder of the new version makes a repeatable query plan on the old one', async () => {
    const harness = await RouterHarness.start({ shards: 3 });
    for (const backend of harness.backends.values()) backend.snapshots = ['1.1', '1.2'];
    const [holder, sibling] = [harness.backend('s0-r0'), harness.backend('s0-r1')];
    sibling.snapshots = ['1.1'];
    await harness.clock.advance(1_000);
    for (const backend of harness.backends.values()) backend.latency = 20;
    const query = harness.send({});
    await harness.clock.advance(10);
    holder.crash();
    const { status, answer } = await harness.clock.runUntil(query);
    expect(status).toBe(200);
    expect(answer.snapshot.indexVersion).toBe(1);
    expect(sibling.started.map(({ snapshot }) => snapshot)).toEqual(['1.1']);
  });

  it('leaves the outcome of a not repeatable request unknown, and runs it nowhere else', async () => {
    const harness = await RouterHarness.start({ shards: 1 });
    harness.backend('s0-r0').snapshots = ['1.1', '1.2'];
    await harness.clock.advance(1_000);
    for (const backend of harness.backends.values()) backend.latency = 20;
    const query = harness.send({ repeatable: false });
    await harness.clock.advance(10);
    harness.backend('s0-r0').crash();
    const { error } = await harness.clock.runUntil(query);
    expect(error).toMatchObject({ code: 'outcome_unknown', mayHaveRun: true });
    expect(harness.backend('s0-r1').attempts).toHaveLength(0);
    const resend = await harness.query({ repeatable: false });
    expect(resend.error.code).toBe('outcome_unknown');
    expect(harness.attempts).toHaveLength(1);
  });
});

describe('a planned stop while no source of settings is fresh', () => {
  it('finishes what is in flight, and still tells resends their outcome', async () => {
    const harness = await RouterHarness.start({ settings: { staleSettings: 'refuse' } });
    for (const backend of harness.backends.values()) backend.latency = 600;
    const first = harness.send({ repeatable: false });
    const other = harness.send({ requestId: 'request-2' });
    await harness.clock.advance(10);
    harness.source.fresh = false;
    const stopped = harness.daemon.stop();
    await harness.clock.advance(10);
    const resend = harness.send({ repeatable: false });
    const refused = await harness.query({ requestId: 'request-3' });
    expect(refused.error.code).toBe('refused_not_run');
    await harness.clock.runUntil(stopped);
    const replies = await Promise.all([first, other, resend]);
    expect(replies.map(({ status }) => status)).toEqual([200, 200, 200]);
    expect(replies[2]?.answer).toEqual(replies[0]?.answer);
    expect(harness.attempts).toHaveLength(4);
  });
});

describe('a zone that is cut off while the rest of a shard drains', () => {
  it('costs its shard and says so truthfully, until the zone is back', async () => {
    const settings = { requiredCoverage: 0.5, staleSettings: 'serve' } as const;
    const harness = await RouterHarness.start({ shards: 2, settings });
    const cut = [harness.backend('s0-r0'), harness.backend('s1-r0')];
    for (const backend of cut) {
      backend.latency = Infinity;
      backend.dropsReports = true;
    }
    harness.source.fresh = false;
    const draining = harness.backend('s0-r1');
    draining.draining = true;
    await harness.clock.advance(6_000);
    const before = draining.attempts.length;
    for (let number = 0; number < 6; number += 1) {
      const { status, answer } = await harness.query({ requestId: `request-${number}` });
      expect(status).toBe(200);
      expect(answer.coverage.reached).toEqual(['shard-1']);
      expect(answer.coverage.missing).toEqual([{ shardId: 'shard-0', reason: 'deadline' }]);
    }
    expect(draining.attempts).toHaveLength(before);
    for (const backend of cut) {
      backend.latency = 1;
      backend.dropsReports = false;
    }
    await harness.clock.advance(2_000);
    const { answer } = await harness.query({ requestId: 'request-7' });
    expect(answer.coverage.reached).toEqual(['shard-0', 'shard-1']);
    expect(draining.attempts).toHaveLength(before);
  });
});

function countHedges(run: FailureRun): number {
  const counts = run.queries.map(({ reply }) => reply.answer.attempts?.hedges ?? 0);
  return counts.reduce((sum, count) => sum + count, 0);
}

describe('failures that come together', () => {
  for (const seed of SEEDS) {
    it(`break no promise (seed ${seed})`, async () => {
      const run = await FailureRun.run(seed);
      expect(findGuaranteeViolations(run)).toEqual({});
      const outcomes = run.queries.map(({ reply }) => reply.error?.code ?? 'answered');
      for (const outcome of ['answered', 'refused_not_run', 'outcome_unknown']) {
        expect(outcomes).toContain(outcome);
      }
      expect(run.departures.length).toBeGreaterThan(0);
    });
  }

  it('come in runs that also hedge', async () => {
    const runs = await Promise.all(SEEDS.slice(0, 3).map((seed) => FailureRun.run(seed)));
    expect(Math.max(...runs.map(countHedges))).toBeGreaterThan(0);
  });

  for (const [name, promise] of Object.entries(VIOLATED_GUARANTEES)) {
    it(`are seen to break "${promise}" with ${name}`, async () => {
      const broken = await Promise.all(
        SEEDS.slice(0, 3).map(async (seed) => {
          const run = await FailureRun.run(seed, { [name]: true });
          return findGuaranteeViolations(run)[promise] ?? 0;
        }),
      );
      expect(Math.max(...broken)).toBeGreaterThan(0);
    });
  }
});
