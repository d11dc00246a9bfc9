/** A scheduler for `@most/core` streams that takes its time from the Clock seam. */
import { newScheduler, newTimeline } from '@most/scheduler';
import type { Scheduler } from '@most/types';
import type { Clock, Timer } from '../seams/clock.js';

/** Streams run on it take part in virtual time. */
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
