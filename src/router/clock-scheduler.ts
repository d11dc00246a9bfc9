/** A scheduler for `@most/core` streams driven by a {@link Clock}. */
import { newScheduler, newTimeline } from '@most/scheduler';
import type { Scheduler } from '@most/types';
import type { Clock, Timer } from '../seams/clock.js';

/** Creates a scheduler whose streams follow `clock`, including the virtual time of tests. */
export function createClockScheduler(clock: Clock): Scheduler {
  return newScheduler(
    {
      now: () => clock.now(),
      setTimer: (callback: () => unknown, delay: number) =>
        clock.setTimer(delay, () => void callback()),
      clearTimer: (timer: Timer) => timer.cancel(),
    },
    newTimeline(),
  );
}
