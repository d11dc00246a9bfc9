/** Outcome of one shard in one execution of a query. */
import type { MissingReason } from '../model/coverage.js';
import type { AnsweredAttempt } from './attempt-outcome.js';

/** The shard's result is missing from the answer. */
export interface MissingShardOutcome {
  readonly kind: 'missing';
  readonly reason: MissingReason;
}

export type ShardOutcome = AnsweredAttempt | MissingShardOutcome;
