import { describe, expect, it } from 'vitest';
import { RouteLatency } from '../../src/gateway/route-latency.js';

const TARGET_MS = 100;

/** Latency of a route whose attempts repeatedly took these times. */
function learned(...latencies: number[]): RouteLatency {
  const latency = new RouteLatency(TARGET_MS);
  for (let index = 0; index < 100; index += 1) {
    latency.addAnswer(latencies[index % latencies.length] ?? 0);
  }
  return latency;
}

describe('the hedge delay', () => {
  it('is a fraction of the target while nothing is known', () => {
    expect(new RouteLatency(TARGET_MS).hedgeDelay).toBe(30);
  });

  it('is the 90th percentile of attempts, and at most a fraction of the target', () => {
    expect(learned(10, 10, 10, 10, 10, 10, 10, 10, 25, 25).hedgeDelay).toBeCloseTo(25, -1);
    expect(learned(10, 10, 10, 10, 10, 10, 10, 10, 90, 90).hedgeDelay).toBe(38);
  });

  it('is above the median even if that is high, so that not every attempt is hedged', () => {
    expect(learned(60, 60, 70).hedgeDelay).toBeGreaterThan(80);
  });
});
