/** Failure of an operation on the data folder. */
import { DriftwayError } from './driftway-error.js';

/** A disk operation failed; the process cannot vouch for its state any more. */
export class DiskError extends DriftwayError {
  constructor(
    step: string,
    /** Relative to the data folder. */
    readonly path: string,
    cause: unknown,
  ) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super(`${path}: ${reason}`, { step, cause });
  }
}
