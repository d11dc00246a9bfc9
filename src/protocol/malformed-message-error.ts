/** A frame that is not what the protocol allows at this point. */
import { DriftwayError } from '../errors/driftway-error.js';

/** The sender cannot be trusted further: its connection is closed. */
export class MalformedMessageError extends DriftwayError {
  constructor(step: string, peer: string, message: string, cause?: unknown) {
    super(message, { step, peer, cause });
  }
}
