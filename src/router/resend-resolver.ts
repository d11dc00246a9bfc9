/** Tells resends of not repeatable requests what became of the first. */
import type { Clock } from '../seams/clock.js';
import { subtractAnswerReserve } from './answer-reserve.js';
import type { FinishedQuery } from './finished-query.js';
import type { OutcomeStore } from './outcome-store.js';
import { QueryError } from './query-error.js';
import type { ParsedQuery } from './query-parser.js';

function outcomeUnknown(reason: string): QueryError {
  return new QueryError('outcome_unknown', 504, reason, true, {}, { step: 'find outcome' });
}

/** Of one router. */
export class ResendResolver {
  constructor(
    private readonly outcomeStore: OutcomeStore,
    private readonly clock: Clock,
  ) {}

  /**
   * The outcome of an earlier request with the same id, or undefined when this
   * one is to be run.
   *
   * @throws QueryError when the id is another request's, or the outcome is not
   *   known here; the latter also as the rejection of a first that runs longer
   *   than the resend has time.
   */
  find(service: string, query: ParsedQuery): Promise<FinishedQuery> | undefined {
    const earlier = this.outcomeStore.find(service, query);
    const { deadlineMs, repeatable, resend } = query.request;
    if (earlier !== undefined) {
      return deadlineMs === undefined ? earlier : this.withTimeout(deadlineMs, earlier);
    }
    // It may have been run by another router, or by this one before it restarted.
    if (resend === true && !repeatable) {
      throw outcomeUnknown('this router knows no earlier request with this id');
    }
    return undefined;
  }

  private withTimeout(deadlineMs: number, earlier: Promise<FinishedQuery>): Promise<FinishedQuery> {
    return new Promise((resolve, reject) => {
      const timer = this.clock.setTimer(subtractAnswerReserve(deadlineMs), () =>
        reject(outcomeUnknown('the first request with this id is still running')),
      );
      void earlier.then((finished) => {
        timer.cancel();
        resolve(finished);
      });
    });
  }
}
