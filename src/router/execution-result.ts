/** What one try of a query came to. */
import type { Coverage } from '../model/coverage.js';
import type { QueryPlan } from './query-plan.js';

/** Why the try ended. */
export type ExecutionEndReason =
  /** Every shard's part has ended. */
  | 'complete'
  /** Enough shards replied and the completion policy waits no longer. */
  | 'sufficient'
  /** Too many shards failed for the required coverage. */
  | 'unreachable'
  | 'deadline'
  | 'cancelled'
  /** The merged answer would be larger than the service allows. */
  | 'answer_too_large';

/** The verified reply of one shard. */
export interface ReachedShard {
  readonly shardId: string;
  /** JSON text. */
  readonly resultText: string;
}

/** One try, ended. */
export interface ExecutionResult {
  readonly plan: QueryPlan;
  readonly endReason: ExecutionEndReason;
  /** Whether the answer may be given. */
  readonly sufficient: boolean;
  readonly coverage: Coverage;
  /** In layout order. */
  readonly results: readonly ReachedShard[];
  /** Whether any back end may have begun to run the request in this try. */
  readonly mayHaveRun: boolean;
  /** Whether a missing shard could be reached on another snapshot. */
  readonly hasReplicaWithoutSnapshot: boolean;
}
