/**
 * Shares a route's requests among services in proportion to their weights:
 * smooth weighted round robin, so that the proportion holds over short spans too.
 */
import type { Route, SplitPart } from '../routes/route-document.js';

/** The running balance of each service of a route. */
type Balances = Map<string, number>;

/** See the module comment. */
export class SplitChooser {
  private readonly balances = new WeakMap<Route, Balances>();

  choose(route: Route, split: readonly SplitPart[]): string {
    const balances = this.balancesOf(route);
    let total = 0;
    let best = '';
    let bestBalance = -Infinity;
    for (const { service, weight } of split) {
      if (weight <= 0) continue;
      total += weight;
      const balance = (balances.get(service) ?? 0) + weight;
      balances.set(service, balance);
      if (balance > bestBalance) [best, bestBalance] = [service, balance];
    }
    balances.set(best, bestBalance - total);
    return best;
  }

  private balancesOf(route: Route): Balances {
    const known = this.balances.get(route);
    if (known !== undefined) return known;
    const balances: Balances = new Map();
    this.balances.set(route, balances);
    return balances;
  }
}
