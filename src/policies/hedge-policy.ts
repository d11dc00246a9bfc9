/** Decides when a slow attempt is hedged by a second attempt on another replica of its shard. */

/** One instance per service; it observes every attempt of that service. */
export interface HedgePolicy {
  /** A first attempt was sent to the shard; credits the hedge budget. */
  recordFirstAttempt(shardId: string): void;

  /** An attempt was answered after `latency` milliseconds. */
  recordLatency(shardId: string, latency: number): void;

  /** An attempt was cancelled without a reply after `elapsed` milliseconds. */
  recordUnfinished(shardId: string, elapsed: number): void;

  /** How long an attempt may take before it is hedged; undefined for no hedge. Milliseconds. */
  hedgeDelay(shardId: string): number | undefined;

  /** Debits one hedge from the budget; false when the budget is exhausted. */
  tryTakeBudget(): boolean;
}
