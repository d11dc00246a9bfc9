import { describe, expect, it } from 'vitest';
import { PureRandomSource } from '../../src/node/pure-random-source.js';
import type { QueryProgress } from '../../src/policies/completion-policy.js';
import { ExpectedGainPolicy } from '../../src/policies/expected-gain-policy.js';

const DECISIONS = 2_000;

function progress(overrides: Partial<QueryProgress>): QueryProgress {
  return {
    shardCount: 8,
    reached: 7,
    pending: 1,
    requiredCoverage: 0.5,
    elapsed: 20,
    sinceAsked: 20,
    remaining: 1_000,
    ...overrides,
  };
}

/** A policy that has observed nine of ten replies within 30 ms and the others after 500 ms. */
function createPolicy(minimumGain: number): ExpectedGainPolicy {
  const policy = new ExpectedGainPolicy(minimumGain, new PureRandomSource(1));
  for (let reply = 0; reply < 4_000; reply += 1) {
    policy.recordReply(reply % 10 === 0 ? 500 + (reply % 7) : 10 + (reply % 20));
  }
  return policy;
}

/** The median decision; it is not affected by the few decisions that explore. */
function medianWait(policy: ExpectedGainPolicy, progressNow: QueryProgress): number {
  const waits = Array.from({ length: DECISIONS }, () => policy.furtherWait(progressNow));
  return waits.sort((left, right) => left - right)[DECISIONS / 2] ?? NaN;
}

describe('ExpectedGainPolicy', () => {
  it('waits for a reply that is likely to arrive soon', () => {
    expect(medianWait(createPolicy(0.1), progress({}))).toBeGreaterThan(0);
  });

  it('does not wait for a reply that is unlikely to arrive soon', () => {
    expect(medianWait(createPolicy(0.1), progress({ elapsed: 60, sinceAsked: 60 }))).toBe(0);
  });

  it('waits for many pending shards when it would not wait for one', () => {
    const policy = createPolicy(0.3);
    expect(medianWait(policy, progress({}))).toBe(0);
    expect(medianWait(policy, progress({ reached: 4, pending: 4 }))).toBeGreaterThan(0);
  });

  it('never waits longer than the query has taken so far', () => {
    const policy = createPolicy(0);
    for (let decision = 0; decision < DECISIONS; decision += 1) {
      expect(policy.furtherWait(progress({ pending: 8 }))).toBeLessThanOrEqual(20);
    }
  });

  it('explores with a small share of its decisions, which wait without an expected gain', () => {
    const policy = createPolicy(100);
    const waits = Array.from({ length: DECISIONS }, () => policy.furtherWait(progress({})));
    const explored = waits.filter((wait) => wait > 0).length;
    expect(explored).toBeGreaterThan(0);
    expect(explored).toBeLessThan(DECISIONS / 100);
  });
});
