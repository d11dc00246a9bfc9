/** The part of a planned stop in which callers are sent elsewhere and answered. */
import type { Clock } from '../seams/clock.js';

/** Of the grace for a stop: until new connections end, and until the last answer is given. */
const ACCEPTING_PART = 0.6;
const ANSWERING_PART = 0.9;
const STOP_CHECK_MS = 50;

/** What is stopped. */
export interface PlannedStopParts {
  readonly clock: Clock;
  /** Time for the whole stop. Milliseconds. */
  readonly graceMs: number;
  /** Requests that have no answer yet. */
  readonly inFlight: () => number;
  /** Takes no new connections any more and closes idle ones; resolves when all are closed. */
  readonly closeListener: () => Promise<void> | undefined;
}

/**
 * Serves new requests for a part of the grace, in which callers see that the gateway is not ready;
 * then closes idle connections and waits for the answers of the requests in flight.
 */
export async function answerBeforeStop(parts: PlannedStopParts): Promise<void> {
  const { clock, graceMs, inFlight, closeListener } = parts;
  const begunAt = clock.now();
  await clock.sleep(graceMs * ACCEPTING_PART);
  const closed = closeListener();
  while (inFlight() > 0 && clock.now() - begunAt < graceMs * ANSWERING_PART) {
    await clock.sleep(STOP_CHECK_MS);
  }
  // Requests whose bodies are still on their way are in flight at the listener alone.
  const left = Math.max(STOP_CHECK_MS, begunAt + graceMs * ANSWERING_PART - clock.now());
  await Promise.race([closed, clock.sleep(left)]);
}
