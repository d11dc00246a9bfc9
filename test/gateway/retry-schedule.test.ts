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

describe('the time after which refused callers come back', () => {
  it('is not before room is expected, and spread over as long again', () => {
    const [first = 0] = delaysOf(1);
    expect(first).toBeGreaterThanOrEqual(60);
    expect(first).toBeLessThanOrEqual(120);
  });

  it('gives each caller a turn of its own', () => {
    const times = delaysOf(50);
    for (const [index, time] of times.entries()) {
      expect(time).toBeGreaterThanOrEqual(60 + index * 10);
      expect(time).toBeLessThanOrEqual(2 * (60 + index * 10));
    }
  });

  it('is never more than a part of what the caller has left, and does not run away', () => {
    expect(Math.max(...delaysOf(10_000, { remaining: 1_000 }))).toBeLessThanOrEqual(300);
    const times = new RetrySchedule(seededRandom(5, 'retry-times'));
    for (let index = 0; index < 10_000; index += 1) times.next({ ...REFUSED, remaining: 1_000 });
    expect(times.next({ ...REFUSED, now: 2_000 })).toBeLessThanOrEqual(120);
  });

  it('knows nothing of one service from another', () => {
    const times = new RetrySchedule(seededRandom(5, 'retry-times'));
    for (let index = 0; index < 100; index += 1) times.next(REFUSED);
    expect(times.next({ ...REFUSED, service: 'other' })).toBeLessThanOrEqual(120);
  });
});
