/** Counts the attempts of one query over all its executions. */
import type { AttemptCounts } from '../model/query-answer.js';
import type { AttemptKind } from './attempt-outcome.js';

/** {@link AttemptCounts} that increase while the query runs. */
export class AttemptTally implements AttemptCounts {
  primary = 0;
  hedges = 0;
  retries = 0;

  add(kind: AttemptKind): void {
    if (kind === 'primary') this.primary += 1;
    else if (kind === 'hedge') this.hedges += 1;
    else this.retries += 1;
  }
}
