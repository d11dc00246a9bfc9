import { describe, expect, it } from 'vitest';
import { AdaptiveConcurrencyLimit } from '../../src/policies/adaptive-concurrency-limit.js';

const MAXIMUM = 500;

/**
 * Simulates back ends that run `slots` requests at a time, `work` milliseconds each, with
 * the limit always fully used: Little's law gives the latency. Returns the clock time at the end.
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

describe('AdaptiveConcurrencyLimit', () => {
  it('converges to a limit that uses all slots and keeps the queue short', () => {
    const limit = new AdaptiveConcurrencyLimit(MAXIMUM);
    limit.record(20, 1, 0);
    for (let request = 0; request < 200; request += 1) limit.record(20, 1, request);
    runSaturated(limit, 20, 20);
    expect(limit.value).toBeGreaterThanOrEqual(20);
    expect(limit.value).toBeLessThan(80);
  });

  it('does not grow while the limit is not used', () => {
    const limit = new AdaptiveConcurrencyLimit(MAXIMUM);
    const before = limit.value;
    for (let request = 0; request < 10_000; request += 1) limit.record(20, 2, request);
    expect(limit.value).toBe(before);
  });

  it('does not treat back ends that have become slower as overloaded for long', () => {
    const limit = new AdaptiveConcurrencyLimit(MAXIMUM);
    const now = runSaturated(limit, 100, 20);
    expect(limit.value).toBeGreaterThanOrEqual(100);
    runSaturated(limit, 100, 200, now);
    expect(limit.value).toBeGreaterThanOrEqual(100);
  });

  it('stays between 1 and the configured maximum', () => {
    const limit = new AdaptiveConcurrencyLimit(10);
    runSaturated(limit, 1_000, 20);
    expect(limit.value).toBe(10);
    for (let request = 0; request < 10_000; request += 1) limit.record(request * 10, 10, request);
    expect(limit.value).toBeGreaterThanOrEqual(1);
  });
});
