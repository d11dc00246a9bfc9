import { describe, expect, it } from 'vitest';
import {
  MAXIMUM_HEDGE_RESERVE,
  QuantileHedgePolicy,
} from '../../src/policies/quantile-hedge-policy.js';

const SHARDS = ['shard-0', 'shard-1', 'shard-2', 'shard-3'];

/** One first attempt that is hedged whenever the policy allows it; returns whether it was. */
function runAttempt(policy: QuantileHedgePolicy, shardId: string, latency: number): boolean {
  policy.recordFirstAttempt();
  const delay = policy.hedgeDelay(shardId);
  const isHedged = delay !== undefined && latency > delay && policy.tryTakeBudget();
  if (isHedged && delay !== undefined) policy.recordUnfinished(shardId, delay * 2);
  else policy.recordLatency(shardId, latency);
  return isHedged;
}

function countHedges(
  policy: QuantileHedgePolicy,
  attempts: number,
  latencyOf: (index: number) => number,
): number {
  let hedges = 0;
  for (let index = 0; index < attempts; index += 1) {
    const shardId = SHARDS[index % SHARDS.length] ?? '';
    if (runAttempt(policy, shardId, latencyOf(index))) hedges += 1;
  }
  return hedges;
}

describe('QuantileHedgePolicy', () => {
  it('learns the usual latency of each shard', () => {
    const policy = new QuantileHedgePolicy({ quantile: 0.95, budgetPercent: 2 });
    countHedges(policy, 8_000, (index) => (index % SHARDS.length === 0 ? 100 : 10));
    expect(policy.hedgeDelay('shard-0')).toBeGreaterThan(99);
    expect(policy.hedgeDelay('shard-1')).toBeLessThan(11);
  });

  it('hedges most stragglers within its budget', () => {
    const policy = new QuantileHedgePolicy({ quantile: 0.95, budgetPercent: 2 });
    const usual = (index: number): number => 10 + (index % 13);
    countHedges(policy, 4_000, usual);
    const hedges = countHedges(policy, 10_000, (index) => (index % 101 === 0 ? 500 : usual(index)));
    expect(hedges).toBeGreaterThan(90);
    expect(hedges).toBeLessThanOrEqual(200 + MAXIMUM_HEDGE_RESERVE);
  });

  it('cannot storm: hedges stay within the budget when everything turns slow', () => {
    const policy = new QuantileHedgePolicy({ quantile: 0.95, budgetPercent: 2 });
    countHedges(policy, 4_000, (index) => 10 + (index % 13));
    for (const attempts of [100, 1_000, 10_000]) {
      const hedges = countHedges(policy, attempts, (index) => 400 + attempts + index);
      expect(hedges).toBeLessThanOrEqual(0.02 * attempts + MAXIMUM_HEDGE_RESERVE);
    }
  });

  it('does not hedge before it has learned anything', () => {
    const policy = new QuantileHedgePolicy({ quantile: 0.95, budgetPercent: 2 });
    expect(policy.hedgeDelay('shard-0')).toBeUndefined();
  });
});
