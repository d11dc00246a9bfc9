/**
 * Once the required coverage is reached, waits only as long as the expected gain
 * in coverage outweighs the added latency. The probability that a pending shard
 * replies in time comes from the latency distribution of the whole service.
 */
import type { RandomSource } from '../seams/random-source.js';
import type { CompletionPolicy, QueryProgress } from './completion-policy.js';
import { LatencyDigest } from './latency-digest.js';

/** Samples in the service's latency digest. */
const DIGEST_WINDOW = 4_000;
/** Below this many samples the digest is too sparse, and every decision explores. */
const MINIMUM_SAMPLES = 200;
/** Candidate waits, as fractions of the time since the request was received. */
const WAIT_FRACTIONS: readonly number[] = [1 / 16, 1 / 8, 1 / 4, 1 / 2, 1];
/**
 * Fraction of decisions that wait as long again as the query has taken, regardless of
 * the expected gain. Without them the digest would never learn that replies which
 * are no longer waited for have become fast.
 */
const EXPLORATION_FRACTION = 1 / 500;

/** One instance serves all queries of a service in this router. */
export class ExpectedGainPolicy implements CompletionPolicy {
  private readonly digest = new LatencyDigest(DIGEST_WINDOW);

  /** @param minimumGain Coverage, 0 to 1, that a wait as long as the query has taken must add to be worthwhile. */
  constructor(
    private readonly minimumGain: number,
    private readonly random: RandomSource,
  ) {}

  recordReply(sinceAsked: number): void {
    this.digest.addReply(sinceAsked);
  }

  recordUnfinished(sinceAsked: number): void {
    this.digest.addUnfinished(sinceAsked);
  }

  furtherWait(progress: QueryProgress): number {
    const { elapsed } = progress;
    const isExploring =
      this.digest.weight < MINIMUM_SAMPLES || this.random.nextFloat() < EXPLORATION_FRACTION;
    return elapsed * (isExploring ? 1 : this.bestWaitFraction(progress));
  }

  /** The wait with the largest net gain, as a fraction of the elapsed time; 0 when no wait has one. */
  private bestWaitFraction({ elapsed, sinceAsked, pending, shardCount }: QueryProgress): number {
    let best = 0;
    let bestNetGain = 0;
    for (const fraction of WAIT_FRACTIONS) {
      const probability = this.digest.chanceOfReply(sinceAsked, elapsed * fraction);
      const netGain = (pending / shardCount) * probability - this.minimumGain * fraction;
      if (netGain <= bestNetGain) continue;
      best = fraction;
      bestNetGain = netGain;
    }
    return best;
  }
}
