/**
 * Once coverage suffices, waits on only as long as the coverage it can expect
 * from that outweighs the wait. How soon an awaited shard replies is learned
 * from all replies of the service.
 */
import type { RandomSource } from '../seams/random-source.js';
import type { CompletionPolicy, QueryProgress } from './completion-policy.js';
import { LatencyDigest } from './latency-digest.js';

/** Replies of the service remembered. */
const WINDOW = 4_000;
/** With fewer replies nothing is known of how soon others come. */
const LEAST_REPLIES = 200;
/** Waits weighed against each other, as shares of the time since the request was received. */
const WAIT_SHARES: readonly number[] = [1 / 16, 1 / 8, 1 / 4, 1 / 2, 1];
/**
 * Share of decisions that wait as long again as the query has taken, whatever is
 * expected; replies never waited for could otherwise never be learned to be quick.
 */
const EXPLORATION_SHARE = 1 / 500;

/** See the module comment. */
export class ExpectedGainPolicy implements CompletionPolicy {
  private readonly digest = new LatencyDigest(WINDOW);

  /** @param least Coverage that a wait as long as the query has taken must be worth. */
  constructor(
    private readonly least: number,
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
      this.digest.weight < LEAST_REPLIES || this.random.nextFloat() < EXPLORATION_SHARE;
    return elapsed * (isExploring ? 1 : this.bestShare(progress));
  }

  /** The wait, as a share of the time so far, that is worth most; 0 when none is worth it. */
  private bestShare({ elapsed, sinceAsked, pending, shardCount }: QueryProgress): number {
    let best = 0;
    let bestWorth = 0;
    for (const share of WAIT_SHARES) {
      const chance = this.digest.chanceOfReply(sinceAsked, elapsed * share);
      const worth = (pending / shardCount) * chance - this.least * share;
      if (worth <= bestWorth) continue;
      best = share;
      bestWorth = worth;
    }
    return best;
  }
}
