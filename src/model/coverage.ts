/** Which shards of a service contributed to an answer. */

/** Why a shard's result is missing from an answer. */
export type MissingReason =
  | 'no_replica'
  | 'snapshot_not_held'
  | 'deadline'
  | 'not_waited_for'
  | 'shed'
  | 'connect_failed'
  | 'connection_lost'
  | 'bad_reply'
  | 'backend_failed'
  | 'retry_budget';

/** One shard whose result is missing from the answer. */
export interface MissingShard {
  readonly shardId: string;
  readonly reason: MissingReason;
}

/**
 * Coverage of an answer. `reached` and `missing` together name every shard that the query
 * is for: every shard of the layout, or the one that holds the query's key.
 */
export interface Coverage {
  /** Minimum fraction of shards that the answer had to reach, 0 to 1. */
  readonly required: number;
  /** Shards whose reply is merged into the answer, in layout order. */
  readonly reached: readonly string[];
  readonly missing: readonly MissingShard[];
  /** reached / (reached + missing), 0 to 1. */
  readonly fraction: number;
}
