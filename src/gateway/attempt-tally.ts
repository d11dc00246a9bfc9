/** What the attempts of one race that brought no answer leave behind: how it may go on, and how it fails. */
import type { AttemptResult, ReplicaAnswer } from './attempt-result.js';
import { NotRunReason } from './attempt-result.js';
import type { RaceOutcome } from './race-outcome.js';

/** Sendings that replicas refused, beyond the attempts of the route. */
const MAXIMUM_RETRIED_REFUSALS = 2;

/** Result of an attempt that brought no answer. */
export type UnansweredResult = Exclude<AttemptResult, { kind: 'answered' }>;

/** See the module comment. */
export class AttemptTally {
  /** Why there is no answer, as it was last known. */
  reason = 'no replica can take it';
  /** Attempts that may have run, without those in flight. */
  possibleRuns = 0;
  private refusals = 0;
  private failedAnswer: ReplicaAnswer | undefined;

  /** Whether an attempt that has ended may have run. */
  get mayHaveRun(): boolean {
    return this.possibleRuns > 0;
  }

  /** Whether replicas refused it no more often than a request is sent on for. */
  get isWithinRefusalLimit(): boolean {
    return this.refusals <= MAXIMUM_RETRIED_REFUSALS;
  }

  /** Counts an attempt that has ended. */
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

  /** The outcome without an answer; `mayRun` when an attempt has run, or may still run. */
  failure(mayRun: boolean): RaceOutcome {
    return {
      kind: 'failed',
      mayHaveRun: mayRun,
      answer: this.failedAnswer,
      reason: this.reason,
    };
  }
}
