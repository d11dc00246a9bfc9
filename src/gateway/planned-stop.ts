/** The phase of a planned stop in which callers move to other gateways and requests are drained. */
import type { Clock } from '../seams/clock.js';
import { settleWithin } from '../seams/settle-within.js';
import type { Drain } from './drain.js';

/** Fraction of the grace period during which new connections are accepted. */
const ACCEPTING_FRACTION = 0.6;
/** Fraction of the grace period after which the drain ends, also with unanswered requests. */
const DRAIN_FRACTION = 0.9;
/** Fraction of the grace period after which callers that have not taken their responses are cut off. */
const FLUSH_FRACTION = 0.95;
const DRAIN_POLL_INTERVAL_MS = 50;

/** The listener to drain, and the time for it. */
export interface DrainOptions {
  readonly clock: Clock;
  /** Grace period of the whole stop. Milliseconds. */
  readonly graceMs: number;
  /** Begins now; ended after {@link DRAIN_FRACTION} of the grace period at the latest. */
  readonly drain: Drain;
  /** Returns the number of unanswered requests. */
  readonly inFlight: () => number;
  /** Stops accepting connections and closes idle ones; resolves when all connections are closed. */
  readonly closeListener: () => Promise<void> | undefined;
}

/**
 * Keeps serving new requests for part of the grace period, while callers see that the gateway is not
 * ready; then closes idle connections and waits until the requests in flight are answered, or ends
 * them with what is known. Resolves when callers have their responses.
 */
export async function drainCallers(options: DrainOptions): Promise<void> {
  const { clock, graceMs, drain, inFlight, closeListener } = options;
  const startedAt = clock.now();
  const endsAt = startedAt + graceMs * DRAIN_FRACTION;
  drain.begin(endsAt);
  await clock.sleep(graceMs * ACCEPTING_FRACTION);
  const closed = closeListener();
  while (inFlight() > 0 && clock.now() < endsAt) await clock.sleep(DRAIN_POLL_INTERVAL_MS);
  // `inFlight` does not count requests whose bodies are still being received; only the listener does.
  await settleWithin(clock, closed, Math.max(DRAIN_POLL_INTERVAL_MS, endsAt - clock.now()));
  drain.end();
  const flushedBy = startedAt + graceMs * FLUSH_FRACTION;
  await settleWithin(clock, closed, Math.max(DRAIN_POLL_INTERVAL_MS, flushedBy - clock.now()));
}
