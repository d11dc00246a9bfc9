/**
 * Once coverage suffices, waits on only as long as the coverage it can expect
 * from that outweighs the wait. How soon an awaited shard replies is learned
 * from all replies of the service.
 */
import type { RandomSource } from '../seams/random-source.js';
import type { CompletionPolicy, QueryProgress } from './completion-policy.js';
import { LatencyDigest } from './latency-digest.js';

/** Replies of the service remembered. */
const DIGEST_WINDOW = 4_000;
/** With fewer replies nothing is known of how soon others come. */
const MINIMUM_SAMPLES = 200;
/** Waits weighed against each other, as shares of the time since the request was received. */
const WAIT_FRACTIONS: readonly number[] = [1 / 16, 1 / 8, 1 / 4, 1 / 2, 1];
/**
 * Share of decisions that wait as long again as the query has taken, whatever is
 * expected; replies never waited for could otherwise never be learned to be quick.
 */
const EXPLORATION_FRACTION = 1 / 500;

/** See the module comment. */
export class ExpectedGainPolicy implements CompletionPolicy {
  private readonly digest = new LatencyDigest(DIGEST_WINDOW);

  /** @param minimumGain Coverage that a wait as long as the query has taken must be worth. */
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

  /** The wait, as a share of the time so far, that is worth most; 0 when none is worth it. */
  private bestWaitFraction({ elapsed, sinceAsked, pending, shardCount }: QueryProgress): number {
    let best = 0;
    let bestWorth = 0;
    for (const share of WAIT_FRACTIONS) {
      const chance = this.digest.chanceOfReply(sinceAsked, elapsed * share);
      const worth = (pending / shardCount) * chance - this.minimumGain * share;
      if (worth <= bestWorth) continue;
      best = share;
      bestWorth = worth;
    }
    return best;
  }
}
