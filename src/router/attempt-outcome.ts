/** Outcome of one attempt at one replica. */
import type { MissingReason } from '../model/coverage.js';

/** Why an attempt was made. */
export type AttemptKind = 'primary' | 'hedge' | 'retry';

/** The replica's reply is complete and was verified. */
export interface AnsweredAttempt {
  readonly kind: 'answered';
  /** Valid JSON text of the result. */
  readonly resultText: string;
  /** Size of the reply's body. Bytes. */
  readonly bytes: number;
}

/** The attempt brought no usable result. */
export interface FailedAttemptOutcome {
  readonly kind: 'failed';
  readonly reason: MissingReason;
  /** False only when it is certain that the replica never started the request. */
  readonly mayHaveRun: boolean;
}

export type AttemptOutcome = AnsweredAttempt | FailedAttemptOutcome;

export function failedAttempt(reason: MissingReason, mayHaveRun: boolean): FailedAttemptOutcome {
  return { kind: 'failed', reason, mayHaveRun };
}
