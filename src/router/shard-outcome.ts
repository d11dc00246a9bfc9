/** How one shard's part of a query ended. */
import type { MissingReason } from '../model/coverage.js';
import type { AnsweredAttempt } from './attempt-outcome.js';

/** The shard is not part of the answer. */
export interface MissingShardOutcome {
  readonly kind: 'missing';
  readonly reason: MissingReason;
}

export type ShardOutcome = AnsweredAttempt | MissingShardOutcome;
