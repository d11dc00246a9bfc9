/**
 * Measures how late timers of this process fire, at a steady rate. Timers of requests don't tell it: those
 * that fire are of the requests that are late, so the lag of a busy moment would be remembered for as long
 * as all goes well.
 */
import type { Clock } from '../seams/clock.js';
import type { AnswerMargin } from './answer-margin.js';

const PROBE_INTERVAL_MS = 100;

/** Runs until `stopped` is aborted. */
export async function measureTimerLag(
  clock: Clock,
  margin: AnswerMargin,
  stopped: AbortSignal,
): Promise<void> {
  while (!stopped.aborted) {
    const dueAt = clock.now() + PROBE_INTERVAL_MS;
    await clock.sleep(PROBE_INTERVAL_MS, stopped).catch(() => undefined);
    if (!stopped.aborted) margin.recordTimerLag(clock.now() - dueAt);
  }
}
