import { describe, expect, it } from 'vitest';
import { RouteLatency } from '../../src/gateway/route-latency.js';

const TARGET_MS = 100;

/** A route whose attempts took these times, over and over. */
function learned(...latencies: number[]): RouteLatency {
  const latency = new RouteLatency(TARGET_MS);
  for (let index = 0; index < 100; index += 1) {
    latency.addAnswer(latencies[index % latencies.length] ?? 0);
  }
  return latency;
}

describe('the time after which a second replica is asked', () => {
  it('is a part of the target while nothing is known', () => {
    expect(new RouteLatency(TARGET_MS).hedgeDelay).toBe(30);
  });

  it('is what nine of ten attempts stay below, and at most a part of the target', () => {
    expect(learned(10, 10, 10, 10, 10, 10, 10, 10, 25, 25).hedgeDelay).toBeCloseTo(25, -1);
    expect(learned(10, 10, 10, 10, 10, 10, 10, 10, 90, 90).hedgeDelay).toBe(38);
  });

  it('is above the usual time also where that is long, so that not every attempt is doubled', () => {
    expect(learned(60, 60, 70).hedgeDelay).toBeGreaterThan(80);
  });
});
