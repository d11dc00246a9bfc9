/** Resolves a resend to the outcome of the first request when the request is not repeatable. */
import type { Clock } from '../seams/clock.js';
import { subtractAnswerReserve } from './answer-reserve.js';
import type { FinishedQuery } from './finished-query.js';
import type { OutcomeStore } from './outcome-store.js';
import { QueryError } from './query-error.js';
import type { ParsedQuery } from './query-parser.js';

function outcomeUnknown(reason: string): QueryError {
  return new QueryError('outcome_unknown', 504, reason, true, {}, { step: 'find outcome' });
}

/** Finds the outcomes that one router has stored for earlier requests. */
export class ResendResolver {
  constructor(
    private readonly outcomeStore: OutcomeStore,
    private readonly clock: Clock,
  ) {}

  /**
   * The outcome of an earlier request with the same id, or undefined when this request
   * has to run.
   *
   * @throws QueryError when the id belongs to a different request, or when this router
   *   does not know the outcome. The promise rejects with the latter error when the first
   *   request is still running at the resend's own deadline.
   */
  find(service: string, query: ParsedQuery): Promise<FinishedQuery> | undefined {
    const earlier = this.outcomeStore.find(service, query);
    const { deadlineMs, repeatable, resend } = query.request;
    if (earlier !== undefined) {
      return deadlineMs === undefined ? earlier : this.withTimeout(deadlineMs, earlier);
    }
    // The request may have run through another router, or through this one before a restart.
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
