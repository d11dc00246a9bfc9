import { describe, expect, it } from 'vitest';
import { PureRandomSource } from '../../src/node/pure-random-source.js';
import { BudgetedRetryPolicy } from '../../src/policies/budgeted-retry-policy.js';
import type { FailedAttempt } from '../../src/policies/retry-policy.js';

const FAILED: FailedAttempt = {
  shardId: 'shard-0',
  attempts: 1,
  mayHaveRun: true,
  repeatable: true,
  remaining: 1_000,
};
const INITIAL_RESERVE = 10;

function createPolicy(): BudgetedRetryPolicy {
  return new BudgetedRetryPolicy(
    { budgetPercent: 10, maximumAttempts: 3 },
    new PureRandomSource(1),
  );
}

describe('BudgetedRetryPolicy', () => {
  it('never retries a not repeatable request that may have run', () => {
    const policy = createPolicy();
    expect(policy.retryDelay({ ...FAILED, repeatable: false })).toBeUndefined();
    expect(policy.retryDelay({ ...FAILED, repeatable: false, mayHaveRun: false })).toBeDefined();
  });

  it('stays within its budget when every attempt fails', () => {
    const policy = createPolicy();
    let retries = 0;
    for (let primary = 0; primary < 1_000; primary += 1) {
      policy.recordFirstAttempt();
      if (policy.retryDelay(FAILED) !== undefined) retries += 1;
    }
    expect(retries).toBeGreaterThanOrEqual(100);
    expect(retries).toBeLessThanOrEqual(100 + INITIAL_RESERVE);
  });

  it('neither exceeds the attempts of one shard nor outlives the deadline', () => {
    const policy = createPolicy();
    expect(policy.retryDelay({ ...FAILED, attempts: 3 })).toBeUndefined();
    expect(policy.retryDelay({ ...FAILED, remaining: 0 })).toBeUndefined();
  });
});
