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

/** Nine of ten replies within 30 ms, the others after 500 ms. */
function createPolicy(least: number): ExpectedGainPolicy {
  const policy = new ExpectedGainPolicy(least, new PureRandomSource(1));
  for (let reply = 0; reply < 4_000; reply += 1) {
    policy.recordReply(reply % 10 === 0 ? 500 + (reply % 7) : 10 + (reply % 20));
  }
  return policy;
}

/** The usual decision; the few that explore differ. */
function usualWait(policy: ExpectedGainPolicy, at: QueryProgress): number {
  const waits = Array.from({ length: DECISIONS }, () => policy.furtherWait(at));
  return waits.sort((left, right) => left - right)[DECISIONS / 2] ?? NaN;
}

describe('ExpectedGainPolicy', () => {
  it('waits for replies that are usually about to come', () => {
    expect(usualWait(createPolicy(0.1), progress({}))).toBeGreaterThan(0);
  });

  it('does not wait for one that is overdue', () => {
    expect(usualWait(createPolicy(0.1), progress({ elapsed: 60, sinceAsked: 60 }))).toBe(0);
  });

  it('waits when many shards are pending where it would not for one', () => {
    const policy = createPolicy(0.3);
    expect(usualWait(policy, progress({}))).toBe(0);
    expect(usualWait(policy, progress({ reached: 4, pending: 4 }))).toBeGreaterThan(0);
  });

  it('never waits longer than the query has taken', () => {
    const policy = createPolicy(0);
    for (let decision = 0; decision < DECISIONS; decision += 1) {
      expect(policy.furtherWait(progress({ pending: 8 }))).toBeLessThanOrEqual(20);
    }
  });

  it('now and then waits beyond what it expects, to learn of replies it gives up', () => {
    const policy = createPolicy(100);
    const waits = Array.from({ length: DECISIONS }, () => policy.furtherWait(progress({})));
    const explored = waits.filter((wait) => wait > 0).length;
    expect(explored).toBeGreaterThan(0);
    expect(explored).toBeLessThan(DECISIONS / 100);
  });
});
