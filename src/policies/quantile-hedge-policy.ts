/**
 * Hedges an attempt that takes longer than a quantile of its shard's recent
 * latencies, within a budget in percent of first attempts. Only first attempts
 * credit the budget, not time or slowness, so that hedges stay within that share
 * of the load even when every reply is slow.
 */
import { AttemptBudget } from './attempt-budget.js';
import type { HedgePolicy } from './hedge-policy.js';
import { LatencyDigest } from './latency-digest.js';

/** Samples in the latency digest of a shard. */
const SHARD_WINDOW = 1_000;
/** Samples in the latency digest of the service. */
const SERVICE_WINDOW = 4_000;
/** Below this many samples of its own, a shard uses the hedge delay of the whole service. */
const MINIMUM_SHARD_SAMPLES = 250;
/** Below this many samples of the service, no attempt is hedged. */
const MINIMUM_SERVICE_SAMPLES = 50;
/** Samples after which a hedge delay is recomputed. */
const SAMPLES_BETWEEN_UPDATES = 16;
/** Hedges allowed before any first attempt has credited the budget. */
const INITIAL_RESERVE = 1;
/** Most hedges that the budget can hold, which bounds a burst. */
export const MAXIMUM_HEDGE_RESERVE = 20;
/** The quantile is raised until the expected hedges use at most this fraction of the budget. */
const TARGET_BUDGET_FRACTION = 0.9;

/** Settings of {@link QuantileHedgePolicy}. */
export interface QuantileHedgeOptions {
  /** Lowest latency quantile after which an attempt is hedged, 0 to 1. */
  readonly quantile: number;
  /** Hedges allowed, in percent of first attempts. */
  readonly budgetPercent: number;
}

/** A latency digest and the hedge delay last computed from it. */
interface LearnedDelay {
  readonly digest: LatencyDigest;
  /** Milliseconds. */
  delay: number;
  samplesUntilUpdate: number;
}

function createLearnedDelay(window: number): LearnedDelay {
  return { digest: new LatencyDigest(window), delay: 0, samplesUntilUpdate: 1 };
}

/** Keeps a latency digest per shard and one for the whole service. */
export class QuantileHedgePolicy implements HedgePolicy {
  private readonly quantile: number;
  private readonly budget: AttemptBudget;
  private readonly service = createLearnedDelay(SERVICE_WINDOW);
  private readonly shards = new Map<string, LearnedDelay>();

  constructor({ quantile, budgetPercent }: QuantileHedgeOptions) {
    // A lower quantile would select more attempts for hedging than the budget allows,
    // and the budget would go to the earliest of them instead of the slowest.
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
