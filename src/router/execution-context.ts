/** State shared by the shards of one execution; a second execution of the query has its own. */
import type { AttemptTally } from './attempt-tally.js';
import type { QueryPlan } from './query-plan.js';
import type { ReplyMemoryBudget } from './reply-memory-budget.js';

/** Plan, attempt counts, memory budget and end signal of one execution. */
export interface ExecutionContext {
  readonly plan: QueryPlan;
  /** Counts the attempts over all executions of the query. */
  readonly tally: AttemptTally;
  readonly replyMemory: ReplyMemoryBudget;
  /** Aborts when the execution ends. */
  readonly endSignal: AbortSignal;
}
