import { describe, expect, it, vi } from 'vitest';
import { TrialSlots } from '../../src/quarantine/trial-slots.js';
import { ManualClock } from '../support/manual-clock.js';

describe('TrialSlots of a gateway', () => {
  it('gives the slot of a request to one trial at a time', () => {
    const slots = new TrialSlots(new ManualClock());
    expect(slots.tryAcquire('f')).toBe(true);
    expect(slots.tryAcquire('f')).toBe(false);
    expect(slots.tryAcquire('g')).toBe(true);
    slots.release('f');
    expect(slots.tryAcquire('f')).toBe(true);
  });

  it('notifies a waiter once, on a notification or when the slot is released', () => {
    const slots = new TrialSlots(new ManualClock());
    const onChange = vi.fn();
    slots.tryAcquire('f');
    slots.wait('f', onChange);
    slots.notifyWaiters('f');
    slots.release('f');
    expect(onChange).toHaveBeenCalledTimes(1);
  });

  it('keeps the slot taken after waiters were notified', () => {
    const slots = new TrialSlots(new ManualClock());
    slots.tryAcquire('f');
    slots.notifyWaiters('f');
    expect(slots.tryAcquire('f')).toBe(false);
  });

  it('gives the slot to the next trial when a trial exceeds the timeout', () => {
    const clock = new ManualClock();
    const slots = new TrialSlots(clock);
    const onChange = vi.fn();
    slots.tryAcquire('f');
    slots.wait('f', onChange);
    clock.advance(1_000);
    expect(onChange).toHaveBeenCalledTimes(1);
    expect(slots.tryAcquire('f')).toBe(true);
    expect(slots.tryAcquire('f')).toBe(false);
    // The first trial ends while the second is in flight.
    slots.release('f');
    expect(slots.tryAcquire('f')).toBe(false);
    slots.release('f');
    expect(slots.tryAcquire('f')).toBe(true);
  });

  it('does not notify a removed waiter', () => {
    const slots = new TrialSlots(new ManualClock());
    const onChange = vi.fn();
    slots.wait('f', onChange);
    slots.cancel('f', onChange);
    slots.release('f');
    expect(onChange).not.toHaveBeenCalled();
  });
});
