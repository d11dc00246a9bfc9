/**
 * Hedges an attempt that takes longer than a quantile of what its shard usually
 * takes, within a budget in percent of first attempts. The budget is earned by
 * first attempts only, not by time or slowness, so that hedges stay that share
 * of the load also when every reply is slow.
 */
import { AttemptBudget } from './attempt-budget.js';
import type { HedgePolicy } from './hedge-policy.js';
import { LatencyDigest } from './latency-digest.js';

/** Samples of a shard remembered. */
const SHARD_WINDOW = 1_000;
/** Samples of the service remembered. */
const SERVICE_WINDOW = 4_000;
/** With fewer samples of its own, a shard is judged by the whole service. */
const MINIMUM_SHARD_SAMPLES = 250;
/** With fewer samples in all, nothing is hedged. */
const MINIMUM_SERVICE_SAMPLES = 50;
/** Samples after which a delay is computed afresh. */
const SAMPLES_BETWEEN_UPDATES = 16;
/** Hedges a service can make before it has earned any. */
const INITIAL_RESERVE = 1;
/** Most hedges saved up, which bounds a burst. */
export const MAXIMUM_HEDGE_RESERVE = 20;
/** Quantiles are kept so high that hedges take this share of the budget. */
const TARGET_BUDGET_FRACTION = 0.9;

/** Settings of {@link QuantileHedgePolicy}. */
export interface QuantileHedgeOptions {
  /** Lowest quantile to hedge after, 0 to 1. */
  readonly quantile: number;
  readonly budgetPercent: number;
}

/** A digest and the delay last read from it. */
interface LearnedDelay {
  readonly digest: LatencyDigest;
  delay: number;
  samplesUntilUpdate: number;
}

function createLearnedDelay(window: number): LearnedDelay {
  return { digest: new LatencyDigest(window), delay: 0, samplesUntilUpdate: 1 };
}

/** Learns from every attempt; see the module comment. */
export class QuantileHedgePolicy implements HedgePolicy {
  private readonly quantile: number;
  private readonly budget: AttemptBudget;
  private readonly service = createLearnedDelay(SERVICE_WINDOW);
  private readonly shards = new Map<string, LearnedDelay>();

  constructor({ quantile, budgetPercent }: QuantileHedgeOptions) {
    // A lower quantile would ask for more hedges than the budget allows, and
    // whichever attempt came first would get one instead of the slowest.
    this.quantile = Math.max(quantile, 1 - (TARGET_BUDGET_FRACTION * budgetPercent) / 100);
    this.budget = new AttemptBudget({
      depositPercent: budgetPercent,
      initialReserve: INITIAL_RESERVE,
      maximumReserve: MAXIMUM_HEDGE_RESERVE,
    });
  }

  recordFirstAttempt(): void {
    this.budget.deposit();
  }

  recordLatency(shardId: string, latency: number): void {
    for (const learned of [this.service, this.shard(shardId)]) {
      learned.digest.addReply(latency);
      this.update(learned);
    }
  }

  recordUnfinished(shardId: string, elapsed: number): void {
    for (const learned of [this.service, this.shard(shardId)]) {
      learned.digest.addUnfinished(elapsed);
      this.update(learned);
    }
  }

  hedgeDelay(shardId: string): number | undefined {
    const shard = this.shards.get(shardId);
    if (shard !== undefined && shard.digest.weight >= MINIMUM_SHARD_SAMPLES) return shard.delay;
    if (this.service.digest.weight < MINIMUM_SERVICE_SAMPLES) return undefined;
    return this.service.delay;
  }

  tryTakeBudget(): boolean {
    return this.budget.tryWithdraw();
  }

  private shard(shardId: string): LearnedDelay {
    const known = this.shards.get(shardId);
    if (known !== undefined) return known;
    const learned = createLearnedDelay(SHARD_WINDOW);
    this.shards.set(shardId, learned);
    return learned;
  }

  private update(learned: LearnedDelay): void {
    learned.samplesUntilUpdate -= 1;
    if (learned.samplesUntilUpdate > 0) return;
    learned.samplesUntilUpdate = SAMPLES_BETWEEN_UPDATES;
    learned.delay = learned.digest.quantile(this.quantile);
  }
}
