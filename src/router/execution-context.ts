/** What the shards of one try of a query share; a second try has its own. */
import type { AttemptTally } from './attempt-tally.js';
import type { QueryPlan } from './query-plan.js';
import type { ReplyMemoryBudget } from './reply-memory-budget.js';

/** One try. */
export interface ExecutionContext {
  readonly plan: QueryPlan;
  /** Over all tries of the query. */
  readonly tally: AttemptTally;
  readonly replyMemory: ReplyMemoryBudget;
  /** Aborts when the try has ended. */
  readonly endSignal: AbortSignal;
}
