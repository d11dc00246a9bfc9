/** A change that the configuration cannot take; nothing of it was applied. */
import { DriftwayError, ErrorLabel } from '../errors/driftway-error.js';

/** Names the place in the change or in the resulting tree, and what is wrong there. */
export class ChangeRejectedError extends DriftwayError {
  constructor(
    /** Such as `operations.2.value` or `services.kifu-audit in zone nayoro`. */
    readonly path: string,
    readonly reason: string,
  ) {
    super(`${path}: ${reason}`, {
      step: 'apply change',
      labels: [ErrorLabel.BadInput, ErrorLabel.NotRun],
    });
  }
}
