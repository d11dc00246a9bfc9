/** Decides when a slow attempt is helped by a second one on a sibling. */

/** Learns from every attempt of one service. */
export interface HedgePolicy {
  /** A first attempt was sent; earns budget. */
  recordFirstAttempt(shardId: string): void;

  /** An attempt was answered after `latency` milliseconds. */
  recordLatency(shardId: string, latency: number): void;

  /** An attempt was given up without a reply after `elapsed` milliseconds. */
  recordUnfinished(shardId: string, elapsed: number): void;

  /** How long to wait for an attempt before hedging; undefined for never. Milliseconds. */
  hedgeDelay(shardId: string): number | undefined;

  /** Takes one hedge from the budget; false when it is spent. */
  tryTakeBudget(): boolean;
}
