/** Result of one execution of a query plan. */
import type { Coverage } from '../model/coverage.js';
import type { QueryPlan } from './query-plan.js';

/** Why an execution ended. */
export type ExecutionEndReason =
  /** Every shard has answered or failed. */
  | 'complete'
  /** Enough shards answered, and the completion policy stopped waiting for the rest. */
  | 'sufficient'
  /** So many shards failed that the required coverage is out of reach. */
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

/** Result of an execution that has ended. */
export interface ExecutionResult {
  readonly plan: QueryPlan;
  readonly endReason: ExecutionEndReason;
  /** Whether the results reach the required coverage and may be returned as an answer. */
  readonly sufficient: boolean;
  readonly coverage: Coverage;
  /** Results of the shards that answered, in layout order; empty unless `sufficient`. */
  readonly results: readonly ReachedShard[];
  /** Whether any back end may have started the request in this execution. */
  readonly mayHaveRun: boolean;
  /**
   * Whether a missing shard has a replica that may receive attempts and does not hold the
   * snapshot, so that a plan on another snapshot could reach the shard.
   */
  readonly hasReplicaWithoutSnapshot: boolean;
}
