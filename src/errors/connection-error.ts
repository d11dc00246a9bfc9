/** Failure of a framed connection between the system's own processes. */
import { DriftwayError, ErrorLabel } from './driftway-error.js';

/** The connection could not be opened, or broke. */
export class ConnectionError extends DriftwayError {
  constructor(step: string, peer: string, message: string, cause?: unknown) {
    super(message, { step, peer, labels: [ErrorLabel.Transient], cause });
  }
}
