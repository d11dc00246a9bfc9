import { describe, expect, it } from 'vitest';
import { AbandonedAttempts } from '../../src/quarantine/abandoned-attempts.js';
import { ManualClock } from '../support/manual-clock.js';

const ATTEMPT = {
  request: { fingerprint: 'f', description: 'GET desk.example/q' },
  isTrial: false,
};

describe('abandoned attempts', () => {
  it('are what a replica may have worked on, once', () => {
    const abandoned = new AbandonedAttempts(new ManualClock());
    abandoned.record('a', ATTEMPT, 1_000);
    expect(abandoned.takeAll('b')).toEqual([]);
    expect(abandoned.takeAll('a')).toEqual([ATTEMPT]);
    expect(abandoned.takeAll('a')).toEqual([]);
  });

  it('are not, once their time at the replica is over', () => {
    const clock = new ManualClock();
    const abandoned = new AbandonedAttempts(clock);
    abandoned.record('a', ATTEMPT, 300);
    abandoned.record('b', ATTEMPT, 1_000_000);
    clock.advance(400);
    expect(abandoned.takeAll('a')).toEqual([]);
    clock.advance(60_000);
    expect(abandoned.takeAll('b')).toEqual([]);
  });

  it('are remembered in a bounded number', () => {
    const abandoned = new AbandonedAttempts(new ManualClock());
    for (let index = 0; index < 10_000; index += 1) abandoned.record('a', ATTEMPT, 1_000);
    expect(abandoned.takeAll('a').length).toBeLessThan(100);
  });
});
