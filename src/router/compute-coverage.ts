/** Computes which shards an answer covers, and why the others are missing. */
import type { Coverage, MissingReason } from '../model/coverage.js';

/** One shard at the end of an execution. */
export interface ShardCoverage {
  readonly shardId: string;
  /** Why the shard is missing; undefined when its reply is merged into the answer. */
  readonly missing: MissingReason | undefined;
}

/** Coverage of an answer; `shards` are all shards of the plan, in layout order. */
export function computeCoverage(shards: readonly ShardCoverage[], required: number): Coverage {
  const reached: string[] = [];
  const missing: { shardId: string; reason: MissingReason }[] = [];
  for (const { shardId, missing: reason } of shards) {
    if (reason === undefined) reached.push(shardId);
    else missing.push({ shardId, reason });
  }
  return { required, reached, missing, fraction: reached.length / shards.length };
}
