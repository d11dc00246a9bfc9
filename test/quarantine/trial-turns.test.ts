import { describe, expect, it, vi } from 'vitest';
import { TrialTurns } from '../../src/quarantine/trial-turns.js';
import { ManualClock } from '../support/manual-clock.js';

describe('turns to try a suspected request', () => {
  it('are taken one at a time', () => {
    const turns = new TrialTurns(new ManualClock());
    expect(turns.take('f')).toBe(true);
    expect(turns.take('f')).toBe(false);
    expect(turns.take('g')).toBe(true);
    turns.end('f');
    expect(turns.take('f')).toBe(true);
  });

  it('wake those that wait once, at their end or when more is known', () => {
    const turns = new TrialTurns(new ManualClock());
    const woken = vi.fn();
    turns.take('f');
    turns.wait('f', woken);
    turns.wake('f');
    turns.end('f');
    expect(woken).toHaveBeenCalledTimes(1);
  });

  it('are still taken after those that wait were woken for news', () => {
    const turns = new TrialTurns(new ManualClock());
    turns.take('f');
    turns.wake('f');
    expect(turns.take('f')).toBe(false);
  });

  it('pass on when a trial takes long, one after the other', () => {
    const clock = new ManualClock();
    const turns = new TrialTurns(clock);
    const woken = vi.fn();
    turns.take('f');
    turns.wait('f', woken);
    clock.advance(1_000);
    expect(woken).toHaveBeenCalledTimes(1);
    expect(turns.take('f')).toBe(true);
    expect(turns.take('f')).toBe(false);
    // The first one ends while the second goes on.
    turns.end('f');
    expect(turns.take('f')).toBe(false);
    turns.end('f');
    expect(turns.take('f')).toBe(true);
  });

  it('do not wake who does not want to wait any more', () => {
    const turns = new TrialTurns(new ManualClock());
    const woken = vi.fn();
    turns.wait('f', woken);
    turns.cancel('f', woken);
    turns.end('f');
    expect(woken).not.toHaveBeenCalled();
  });
});
