import { describe, expect, it, vi } from 'vitest';
import { TrialSlots } from '../../src/quarantine/trial-slots.js';
import { ManualClock } from '../support/manual-clock.js';

describe('turns to try a suspected request', () => {
  it('are taken one at a time', () => {
    const turns = new TrialSlots(new ManualClock());
    expect(turns.tryAcquire('f')).toBe(true);
    expect(turns.tryAcquire('f')).toBe(false);
    expect(turns.tryAcquire('g')).toBe(true);
    turns.release('f');
    expect(turns.tryAcquire('f')).toBe(true);
  });

  it('wake those that wait once, at their end or when more is known', () => {
    const turns = new TrialSlots(new ManualClock());
    const woken = vi.fn();
    turns.tryAcquire('f');
    turns.wait('f', woken);
    turns.notifyWaiters('f');
    turns.release('f');
    expect(woken).toHaveBeenCalledTimes(1);
  });

  it('are still taken after those that wait were woken for news', () => {
    const turns = new TrialSlots(new ManualClock());
    turns.tryAcquire('f');
    turns.notifyWaiters('f');
    expect(turns.tryAcquire('f')).toBe(false);
  });

  it('pass on when a trial takes long, one after the other', () => {
    const clock = new ManualClock();
    const turns = new TrialSlots(clock);
    const woken = vi.fn();
    turns.tryAcquire('f');
    turns.wait('f', woken);
    clock.advance(1_000);
    expect(woken).toHaveBeenCalledTimes(1);
    expect(turns.tryAcquire('f')).toBe(true);
    expect(turns.tryAcquire('f')).toBe(false);
    // The first one ends while the second goes on.
    turns.release('f');
    expect(turns.tryAcquire('f')).toBe(false);
    turns.release('f');
    expect(turns.tryAcquire('f')).toBe(true);
  });

  it('do not wake who does not want to wait any more', () => {
    const turns = new TrialSlots(new ManualClock());
    const woken = vi.fn();
    turns.wait('f', woken);
    turns.cancel('f', woken);
    turns.release('f');
    expect(woken).not.toHaveBeenCalled();
  });
});
