import { describe, expect, it } from 'vitest';
import { PlanCache } from '../../src/router/plan-cache.js';

describe('PlanCache', () => {
  it('chooses once for each coverage, and again for a new generation', () => {
    const cache = new PlanCache();
    let chosen = 0;
    const choose = (): undefined => void (chosen += 1);
    for (const generation of [1, 1, 1, 2, 2]) cache.get(generation, 0.5, choose);
    cache.get(2, 1, choose);
    expect(chosen).toBe(3);
  });

  it('stays small for any number of different coverages', () => {
    const cache = new PlanCache();
    let largest = 0;
    for (let number = 0; number < 10_000; number += 1) {
      cache.get(1, number / 10_000, () => undefined);
      largest = Math.max(largest, cache.size);
    }
    expect(largest).toBeLessThan(100);
  });
});
