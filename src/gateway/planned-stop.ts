/** The part of a planned stop in which callers are sent elsewhere and answered. */
import type { Clock } from '../seams/clock.js';

/** Of the grace for a stop: until new connections end, and until the last answer is given. */
const ACCEPTING_FRACTION = 0.6;
const DRAIN_FRACTION = 0.9;
const DRAIN_POLL_INTERVAL_MS = 50;

/** What is stopped. */
export interface DrainOptions {
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
export async function drainCallers(options: DrainOptions): Promise<void> {
  const { clock, graceMs, inFlight, closeListener } = options;
  const startedAt = clock.now();
  await clock.sleep(graceMs * ACCEPTING_FRACTION);
  const closed = closeListener();
  while (inFlight() > 0 && clock.now() - startedAt < graceMs * DRAIN_FRACTION) {
    await clock.sleep(DRAIN_POLL_INTERVAL_MS);
  }
  // Requests whose bodies are still on their way are in flight at the listener alone.
  const remainingMs = Math.max(
    DRAIN_POLL_INTERVAL_MS,
    startedAt + graceMs * DRAIN_FRACTION - clock.now(),
  );
  await Promise.race([closed, clock.sleep(remainingMs)]);
}
