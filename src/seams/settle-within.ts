/** Bounds a wait in time, without a timer that outlives it and keeps a stopping process running. */
import type { Clock, Timer } from './clock.js';

/** Resolves when `work` settles, or after `milliseconds`. */
export async function settleWithin(
  clock: Clock,
  work: Promise<unknown> | undefined,
  milliseconds: number,
): Promise<void> {
  let timer: Timer | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = clock.setTimer(milliseconds, resolve);
  });
  try {
    await Promise.race([work, timeout]);
  } finally {
    timer?.cancel();
  }
}
