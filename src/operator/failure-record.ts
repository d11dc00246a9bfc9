/** The failed attempts of one request, and what they amount to. */
import type { AdministrationErrorCode } from '../administration/administration-error.js';
import { OperatorError } from './operator-error.js';

/** Pause after every controller was asked in vain, unless one said otherwise. Milliseconds. */
const PAUSE_MS = 300;

/** Given by the replicated state on the change itself, so they also settle an earlier attempt. */
const VERDICTS: ReadonlySet<AdministrationErrorCode> = new Set([
  'conflict',
  'rejected',
  'change_id_reused',
]);

/** Collects the failures of one request. */
export class FailureRecord {
  private last: OperatorError | undefined;
  /** The first attempt that may have changed something. */
  private lost: OperatorError | undefined;

  add(error: OperatorError): void {
    this.last = error;
    if (error.error.changed === 'unknown') this.lost ??= error;
  }

  /** How long to wait before asking all again. Milliseconds. */
  pauseMs(): number {
    return this.last?.error.retryAfterMs ?? PAUSE_MS;
  }

  /** What to tell the operator. */
  verdict(): OperatorError {
    if (this.last === undefined) return noController();
    if (this.lost === undefined || VERDICTS.has(this.last.error.code)) return this.last;
    return this.lost;
  }
}

/** Nobody was named to ask. */
export function noController(): OperatorError {
  const message = 'name a controller with --controller or DRIFTWAY_CONTROLLERS';
  const step = 'choose controller';
  return new OperatorError({ code: 'bad_request', message, step, changed: 'no' }, undefined);
}
