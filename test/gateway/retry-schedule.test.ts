import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import { RetrySchedule, type RefusedRequestTiming } from '../../src/gateway/retry-schedule.js';

const REFUSED: RefusedRequestTiming = {
  service: 'ledger',
  now: 1_000,
  availableIn: 60,
  interval: 10,
  remaining: 8_000,
};

function delaysOf(count: number, changes: Partial<RefusedRequestTiming> = {}): number[] {
  const times = new RetrySchedule(seededRandom(5, 'retry-times'));
  return Array.from({ length: count }, () => times.next({ ...REFUSED, ...changes }));
}

describe('the retry delay of refused callers', () => {
  it('is not before capacity is expected, and at most twice as long', () => {
    const [first = 0] = delaysOf(1);
    expect(first).toBeGreaterThanOrEqual(60);
    expect(first).toBeLessThanOrEqual(120);
  });

  it('is scheduled one interval later for each further caller', () => {
    const times = delaysOf(50);
    for (const [index, time] of times.entries()) {
      expect(time).toBeGreaterThanOrEqual(60 + index * 10);
      expect(time).toBeLessThanOrEqual(2 * (60 + index * 10));
    }
  });

  it('is bounded by a fraction of the remaining time, and recovers after many refusals', () => {
    expect(Math.max(...delaysOf(10_000, { remaining: 1_000 }))).toBeLessThanOrEqual(300);
    const times = new RetrySchedule(seededRandom(5, 'retry-times'));
    for (let index = 0; index < 10_000; index += 1) times.next({ ...REFUSED, remaining: 1_000 });
    expect(times.next({ ...REFUSED, now: 2_000 })).toBeLessThanOrEqual(120);
  });

  it('is independent of other services', () => {
    const times = new RetrySchedule(seededRandom(5, 'retry-times'));
    for (let index = 0; index < 100; index += 1) times.next(REFUSED);
    expect(times.next({ ...REFUSED, service: 'other' })).toBeLessThanOrEqual(120);
  });
});
