/** Periodic tasks that wake a process up together: a wake-up costs more than most of these tasks. */
import type { Clock } from './clock.js';

/** A tick that is nearer than this part of the interval is passed over: timers may fire a little early. */
const MINIMUM_WAIT_FRACTION = 0.25;

/**
 * Resolves at the next multiple of `intervalMs` on the clock, so that tasks whose intervals divide each other
 * wake up at the same moment.
 *
 * @throws the signal's reason when `signal` aborts first.
 */
export function sleepUntilTick(
  clock: Clock,
  intervalMs: number,
  signal?: AbortSignal,
): Promise<void> {
  const wait = intervalMs - (clock.now() % intervalMs);
  const isNear = wait < intervalMs * MINIMUM_WAIT_FRACTION;
  return clock.sleep(isNear ? wait + intervalMs : wait, signal);
}
