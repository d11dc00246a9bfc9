/** States which shards an answer was drawn from, and why the others are missing. */
import type { Coverage, MissingReason } from '../model/coverage.js';

/** One shard at the end of a try. */
export interface ShardCoverage {
  readonly shardId: string;
  /** Undefined when its reply is merged into the answer. */
  readonly missing: MissingReason | undefined;
}

/** The statement over all shards that were asked, in layout order. */
export function computeCoverage(shards: readonly ShardCoverage[], required: number): Coverage {
  const reached: string[] = [];
  const missing: { shardId: string; reason: MissingReason }[] = [];
  for (const { shardId, missing: reason } of shards) {
    if (reason === undefined) reached.push(shardId);
    else missing.push({ shardId, reason });
  }
  return { required, reached, missing, fraction: reached.length / shards.length };
}
