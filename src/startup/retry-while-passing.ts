/** Repeats what failed for a cause that may pass by itself, such as an address still in use. */
import type { LogFields, Logger } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';

const INITIAL_BACKOFF_MS = 50;
const MAXIMUM_BACKOFF_MS = 250;

/** What waiting needs from the process. */
export interface WaitingContext {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Aborts when the process is told to stop. */
  readonly stopped: AbortSignal;
}

/** What is attempted, and how it is logged. */
export interface PassingAttempt<T> {
  readonly run: () => Promise<T>;
  /** Whether the same attempt may succeed later. */
  readonly mayPass: (error: unknown) => boolean;
  /** Logged as a warning with the reason, once for each reason in a row. */
  readonly waitingMessage: string;
  /** Logged once an attempt after a failed one succeeds. */
  readonly passedMessage: string;
  readonly fields?: LogFields;
}

/**
 * Resolves with the result of the first attempt that succeeds.
 *
 * @throws the error of an attempt that cannot pass, or the signal's reason once the process stops.
 */
export async function retryWhilePassing<T>(
  { clock, logger, stopped }: WaitingContext,
  { run, mayPass, waitingMessage, passedMessage, fields }: PassingAttempt<T>,
): Promise<T> {
  const startedAt = clock.now();
  let backoff = INITIAL_BACKOFF_MS;
  let loggedReason: string | undefined;
  for (;;) {
    stopped.throwIfAborted();
    try {
      const result = await run();
      const waitedMs = Math.round(clock.now() - startedAt);
      if (loggedReason !== undefined) logger.info(passedMessage, { ...fields, waitedMs });
      return result;
    } catch (error) {
      if (!mayPass(error)) throw error;
      const reason = error instanceof Error ? error.message : String(error);
      if (reason !== loggedReason) logger.warn(waitingMessage, { ...fields, reason });
      loggedReason = reason;
    }
    await clock.sleep(backoff, stopped);
    backoff = Math.min(2 * backoff, MAXIMUM_BACKOFF_MS);
  }
}
