/** What part of a service an answer was drawn from. */

/** Why a shard is not part of an answer. */
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

/** One shard that was not reached. */
export interface MissingShard {
  readonly shardId: string;
  readonly reason: MissingReason;
}

/** Stated with every answer; `reached` and `missing` together name every shard of the layout. */
export interface Coverage {
  /** Least fraction of shards the answer had to reach, 0 to 1. */
  readonly required: number;
  /** Shards whose reply is merged into the answer, in layout order. */
  readonly reached: readonly string[];
  readonly missing: readonly MissingShard[];
  /** reached / (reached + missing), 0 to 1. */
  readonly fraction: number;
}
