/**
 * Counts the unsuccessful attempts of a race, to decide about further attempts and the final
 * failure.
 */
import type { AttemptResult, ReplicaAnswer } from './attempt-result.js';
import { NotRunReason } from './attempt-result.js';
import type { RaceOutcome } from './race-outcome.js';

/**
 * Refused attempts that may be followed by another; they don't count towards the route's maximum
 * attempts.
 */
const MAXIMUM_RETRIED_REFUSALS = 2;

/** Result of an attempt without a successful answer. */
export type UnansweredResult = Exclude<AttemptResult, { kind: 'answered' }>;

/** Unsuccessful attempts of one {@link ReplicaRace}. */
export class AttemptTally {
  /** Reason that the failure reports: usually that of the latest unsuccessful attempt. */
  reason = 'no replica can take it';
  /** Ended attempts that may have run. */
  possibleRuns = 0;
  private refusals = 0;
  private failedAnswer: ReplicaAnswer | undefined;

  /** Whether any ended attempt may have run. */
  get mayHaveRun(): boolean {
    return this.possibleRuns > 0;
  }

  /** Whether a refused request may still be sent to another replica. */
  get isWithinRefusalLimit(): boolean {
    return this.refusals <= MAXIMUM_RETRIED_REFUSALS;
  }

  /** Counts an ended attempt. */
  record(result: UnansweredResult): void {
    if (result.kind === 'notRun') {
      this.reason = result.reason;
      if (result.reason !== NotRunReason.Unreachable) this.refusals += 1;
      return;
    }
    this.possibleRuns += 1;
    if (result.kind === 'failedAnswer') this.failedAnswer = result.answer;
    this.reason = result.kind === 'broken' ? result.reason : result.kind;
  }

  /** Returns the failed outcome; `mayRun` says that an attempt may have run or may still run. */
  failure(mayRun: boolean): RaceOutcome {
    return {
      kind: 'failed',
      mayHaveRun: mayRun,
      answer: this.failedAnswer,
      reason: this.reason,
    };
  }
}
