import { describe, expect, it } from 'vitest';
import { ExtraAttemptBudget } from '../../src/gateway/extra-attempt-budget.js';

const LIMITS = { ratio: 0.2, slack: 56, windowMs: 10_000 };
const GATEWAYS = 8;

/** Takes all that is left and counts it. */
function takeAll(budget: ExtraAttemptBudget): number {
  let taken = 0;
  while (budget.take()) taken += 1;
  return taken;
}

function createFleet(): ExtraAttemptBudget[] {
  return Array.from({ length: GATEWAYS }, () => new ExtraAttemptBudget(LIMITS, GATEWAYS, false));
}

describe('SecondSendBudget', () => {
  it('keeps a fleet within its slack, also when all of it starts again with all saved up', () => {
    const before = createFleet();
    for (const budget of before) {
      for (let index = 0; index < 1_000; index += 1) budget.recordRequest(GATEWAYS);
    }
    const spent = [...before, ...createFleet()].reduce((sum, budget) => sum + takeAll(budget), 0);
    expect(spent).toBeLessThanOrEqual(LIMITS.slack);
  });

  it('lets a gateway that has just started recover from one failure', () => {
    expect(takeAll(new ExtraAttemptBudget(LIMITS, GATEWAYS, false))).toBe(1);
  });

  it('has all of its share for a service that is new to an old process', () => {
    const fleet = Array.from(
      { length: GATEWAYS },
      () => new ExtraAttemptBudget(LIMITS, GATEWAYS, true),
    );
    const spent = fleet.reduce((sum, budget) => sum + takeAll(budget), 0);
    expect(spent).toBeGreaterThan(LIMITS.slack / 2);
    expect(spent).toBeLessThanOrEqual(LIMITS.slack);
  });

  it('spends no more than its part of its own requests in the long run', () => {
    const budget = new ExtraAttemptBudget(LIMITS, GATEWAYS, false);
    takeAll(budget);
    let taken = 0;
    const requests = 10_000;
    for (let index = 0; index < requests; index += 1) {
      budget.recordRequest(GATEWAYS);
      if (budget.take()) taken += 1;
    }
    expect(taken).toBeLessThanOrEqual(requests * LIMITS.ratio);
    expect(taken).toBeGreaterThan(requests * LIMITS.ratio * 0.8);
  });
});
