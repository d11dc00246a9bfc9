/**
 * Errors that were thrown outside every task, where no caller can take them: in a
 * callback of a library, or as a rejection that nobody waits for. What they left
 * behind is not known, so the process that met one must end; it does so as
 * planned, so that the requests of other callers get their answers.
 */
import { DriftwayError } from '../errors/driftway-error.js';
import type { Logger } from '../observability/logger.js';

/** Where such errors are told; Node's `process`. */
export interface UncaughtErrorSource {
  on(event: 'uncaughtException', listener: (error: unknown, origin: string) => void): unknown;
}

function asError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}

/** Logs each uncaught error with its step and peer; resolves with the first. */
export function watchUncaughtErrors(logger: Logger, source: UncaughtErrorSource): Promise<Error> {
  return new Promise((resolve) => {
    source.on('uncaughtException', (thrown, origin) => {
      const error = asError(thrown);
      const place = error instanceof DriftwayError ? error : undefined;
      logger.error('error outside a task', {
        origin,
        step: place?.step,
        peer: place?.peer,
        reason: error.message,
        stack: error.stack,
      });
      resolve(error);
    });
  });
}
