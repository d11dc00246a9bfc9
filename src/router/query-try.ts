/** What the shards of one try of a query share; a second try has its own. */
import type { AttemptTally } from './attempt-tally.js';
import type { QueryPlan } from './query-plan.js';
import type { ReplyBuffer } from './reply-buffer.js';

/** One try. */
export interface QueryTry {
  readonly plan: QueryPlan;
  /** Over all tries of the query. */
  readonly tally: AttemptTally;
  readonly replies: ReplyBuffer;
  /** Aborts when the try has ended. */
  readonly ended: AbortSignal;
}
