/** What an operator's command failed with, and the exit code that tells scripts of it. */
import { DriftwayError } from '../errors/driftway-error.js';
import type { AdministrationErrorCode, ErrorBody } from '../administration/administration-error.js';

/** Exit codes of the operator commands. */
export enum OperatorExitCode {
  Success = 0,
  /** Anything not named below. */
  Failure = 1,
  /** The request, or what it would lead to, is wrong; nothing changed. */
  BadInput = 2,
  /** The configuration had moved on; nothing changed. */
  Conflict = 3,
  /** The token is missing, wrong or does not reach that far; nothing changed. */
  Refused = 4,
  /** No controller could serve the request; nothing changed. */
  Unavailable = 5,
  /** The answer was lost. Resend with the same change id. */
  OutcomeUnknown = 6,
  /** There is no such thing. */
  NotFound = 7,
}

const EXIT_CODES: Readonly<Record<AdministrationErrorCode, OperatorExitCode>> = {
  bad_request: OperatorExitCode.BadInput,
  unauthorized: OperatorExitCode.Refused,
  forbidden: OperatorExitCode.Refused,
  not_found: OperatorExitCode.NotFound,
  method_not_allowed: OperatorExitCode.Failure,
  conflict: OperatorExitCode.Conflict,
  change_id_reused: OperatorExitCode.BadInput,
  too_large: OperatorExitCode.BadInput,
  rejected: OperatorExitCode.BadInput,
  internal: OperatorExitCode.Failure,
  not_offered: OperatorExitCode.Failure,
  unavailable: OperatorExitCode.Unavailable,
  outcome_unknown: OperatorExitCode.OutcomeUnknown,
};

/** An error body with the controller that sent it, or what the client concluded itself. */
export class OperatorError extends DriftwayError {
  readonly exitCode: OperatorExitCode;

  constructor(
    readonly error: ErrorBody['error'],
    peer: string | undefined,
    cause?: unknown,
  ) {
    super(error.message, {
      step: error.step,
      ...(peer === undefined ? {} : { peer }),
      cause,
    });
    const lost = error.changed === 'unknown';
    this.exitCode = lost ? OperatorExitCode.OutcomeUnknown : EXIT_CODES[error.code];
  }
}

/** A command line or file is wrong; nothing was sent. */
export function usageError(message: string): OperatorError {
  const step = 'read arguments';
  return new OperatorError({ code: 'bad_request', message, step, changed: 'no' }, undefined);
}
