/** How one attempt at one replica ended. */
import type { MissingReason } from '../model/coverage.js';

/** Why an attempt was made. */
export type AttemptKind = 'primary' | 'hedge' | 'retry';

/** The replica's reply was verified and is whole. */
export interface AnsweredAttempt {
  readonly kind: 'answered';
  /** JSON text of the result, checked to be JSON. */
  readonly resultText: string;
  /** Size of the reply's body. */
  readonly bytes: number;
}

/** Nothing of it may be used. */
export interface FailedAttemptOutcome {
  readonly kind: 'failed';
  readonly reason: MissingReason;
  /** False only when it is certain that the replica never began to run it. */
  readonly mayHaveRun: boolean;
}

export type AttemptOutcome = AnsweredAttempt | FailedAttemptOutcome;

export function failedAttempt(reason: MissingReason, mayHaveRun: boolean): FailedAttemptOutcome {
  return { kind: 'failed', reason, mayHaveRun };
}
