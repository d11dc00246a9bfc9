/** The failed attempts of one request, and what they amount to. */
import type { AdministrationErrorCode } from '../administration/administration-error.js';
import { OperatorError } from './operator-error.js';

/** Step of the errors that the client itself concludes on. */
export const ASK_STEP = 'ask controller';

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
  /** The last that a controller itself answered with; it tells more than a broken connection. */
  private answered: OperatorError | undefined;
  /** The first attempt that may have changed something. */
  private lost: OperatorError | undefined;

  /** @param isIdentified Whether the request carries a change id that verdicts refer to. */
  constructor(private readonly isIdentified: boolean) {}

  add(error: OperatorError): void {
    this.last = error;
    if (error.step !== ASK_STEP) this.answered = error;
    if (error.error.changed === 'unknown') this.lost ??= error;
  }

  /** How long to wait before asking all again. Milliseconds. */
  pauseMs(): number {
    return this.last?.error.retryAfterMs ?? PAUSE_MS;
  }

  /** What to tell the operator. */
  verdict(): OperatorError {
    if (this.last === undefined) return noController();
    if (this.isIdentified && VERDICTS.has(this.last.error.code)) return this.last;
    return this.lost ?? this.answered ?? this.last;
  }
}

/** Nobody was named to ask. */
export function noController(): OperatorError {
  const message = 'name a controller with --controller or DRIFTWAY_CONTROLLERS';
  const step = 'choose controller';
  return new OperatorError({ code: 'bad_request', message, step, changed: 'no' }, undefined);
}
