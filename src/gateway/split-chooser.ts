/**
 * Shares a route's requests among services in proportion to their weights: smooth
 * weighted round robin, so that the proportion holds over short spans too. Each
 * gateway begins at a place in the round that is drawn by chance, or many gateways
 * that see few requests each would all send theirs to the heaviest service. The
 * round goes on when a new version of the routes leaves the split alone.
 */
import type { Route, SplitPart } from '../routes/route-document.js';
import type { RandomSource } from '../seams/random-source.js';

/** Longest way into the round at which a gateway begins; covers weights in percent. */
const MAXIMUM_START_OFFSET = 100;
/** Splits whose rounds are kept; far above what a route document holds. */
const MAXIMUM_SPLITS = 10_000;

/** The running balance of each service of a split. */
class WeightedRound {
  private readonly balances = new Map<string, number>();

  constructor(private readonly split: readonly SplitPart[]) {}

  next(): string {
    let total = 0;
    let best = '';
    let bestBalance = -Infinity;
    for (const { service, weight } of this.split) {
      if (weight <= 0) continue;
      total += weight;
      const balance = (this.balances.get(service) ?? 0) + weight;
      this.balances.set(service, balance);
      if (balance > bestBalance) [best, bestBalance] = [service, balance];
    }
    this.balances.set(best, bestBalance - total);
    return best;
  }
}

/** See the module comment. */
export class SplitChooser {
  private readonly rounds = new Map<string, WeightedRound>();

  constructor(private readonly random: RandomSource) {}

  choose(route: Route, split: readonly SplitPart[]): string {
    return this.roundOf(route, split).next();
  }

  private roundOf({ host, pathPrefix }: Route, split: readonly SplitPart[]): WeightedRound {
    const key = JSON.stringify([host, pathPrefix, split]);
    const known = this.rounds.get(key);
    if (known !== undefined) return known;
    if (this.rounds.size >= MAXIMUM_SPLITS) this.rounds.clear();
    const round = this.createRound(split);
    this.rounds.set(key, round);
    return round;
  }

  private createRound(split: readonly SplitPart[]): WeightedRound {
    const round = new WeightedRound(split);
    const start = Math.floor(this.random.nextFloat() * MAXIMUM_START_OFFSET);
    for (let step = 0; step < start; step += 1) round.next();
    return round;
  }
}
