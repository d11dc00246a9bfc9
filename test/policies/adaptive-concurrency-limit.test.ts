import { describe, expect, it } from 'vitest';
import { AdaptiveConcurrencyLimit } from '../../src/policies/adaptive-concurrency-limit.js';

const MAXIMUM = 500;

/**
 * Back ends that work on `slots` requests at a time, `work` milliseconds each:
 * Little's law gives the latency at any limit that is fully used.
 */
function runSaturated(
  limit: AdaptiveConcurrencyLimit,
  slots: number,
  work: number,
  from = 0,
): number {
  let now = from;
  for (let request = 0; request < 40_000; request += 1) {
    const inFlight = limit.value;
    const latency = work * Math.max(1, inFlight / slots);
    now += latency / inFlight;
    limit.record(latency, inFlight, now);
  }
  return now;
}

describe('LearnedLimit', () => {
  it('settles where the slots are used and the queue behind them is short', () => {
    const limit = new AdaptiveConcurrencyLimit(MAXIMUM);
    limit.record(20, 1, 0);
    for (let request = 0; request < 200; request += 1) limit.record(20, 1, request);
    runSaturated(limit, 20, 20);
    expect(limit.value).toBeGreaterThanOrEqual(20);
    expect(limit.value).toBeLessThan(80);
  });

  it('does not grow while it is not used', () => {
    const limit = new AdaptiveConcurrencyLimit(MAXIMUM);
    const before = limit.value;
    for (let request = 0; request < 10_000; request += 1) limit.record(20, 2, request);
    expect(limit.value).toBe(before);
  });

  it('does not take back ends that turned slow for overloaded for long', () => {
    const limit = new AdaptiveConcurrencyLimit(MAXIMUM);
    const now = runSaturated(limit, 100, 20);
    expect(limit.value).toBeGreaterThanOrEqual(100);
    runSaturated(limit, 100, 200, now);
    expect(limit.value).toBeGreaterThanOrEqual(100);
  });

  it('stays within its bounds', () => {
    const limit = new AdaptiveConcurrencyLimit(10);
    runSaturated(limit, 1_000, 20);
    expect(limit.value).toBe(10);
    for (let request = 0; request < 10_000; request += 1) limit.record(request * 10, 10, request);
    expect(limit.value).toBeGreaterThanOrEqual(1);
  });
});
