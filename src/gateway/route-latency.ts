/** How long the attempts of one route usually take, learned from those that ended and those given up. */
import { LatencyDigest } from '../policies/latency-digest.js';

const WINDOW = 400;
/** Below this many samples the route's target stands in: two gathers of a leaf. */
const LEAST_SAMPLES = 16;
const REFRESH_EVERY = 16;
const USUAL_QUANTILE = 0.5;
const HEDGE_QUANTILE = 0.9;

/** Parts of the target latency that stand in for what is not known yet, or bound it. */
const USUAL_PART_OF_TARGET = 0.15;
const HEDGE_PART_OF_TARGET = 0.3;
const LONGEST_HEDGE_PART_OF_TARGET = 0.38;
const SHORTEST_HEDGE_OVER_USUAL = 1.4;

/** See the module comment. Durations are milliseconds. */
export class RouteLatency {
  private readonly digest = new LatencyDigest(WINDOW);
  private sinceRefresh = 0;
  private usualTime: number;
  private hedgeTime: number;

  constructor(private readonly target: number) {
    this.usualTime = target * USUAL_PART_OF_TARGET;
    this.hedgeTime = target * HEDGE_PART_OF_TARGET;
  }

  /** Median time of an attempt. */
  get usual(): number {
    return this.usualTime;
  }

  /** Time after which an attempt is unusually late. */
  get hedgeDelay(): number {
    return this.hedgeTime;
  }

  addAnswer(latency: number): void {
    this.digest.addReply(latency);
    this.refresh();
  }

  addUnfinished(elapsed: number): void {
    this.digest.addUnfinished(elapsed);
    this.refresh();
  }

  private refresh(): void {
    this.sinceRefresh += 1;
    if (this.sinceRefresh < REFRESH_EVERY || this.digest.weight < LEAST_SAMPLES) return;
    this.sinceRefresh = 0;
    this.usualTime = this.digest.quantile(USUAL_QUANTILE);
    const late = this.digest.quantile(HEDGE_QUANTILE);
    const longest = this.target * LONGEST_HEDGE_PART_OF_TARGET;
    const shortest = this.usualTime * SHORTEST_HEDGE_OVER_USUAL;
    // Where all attempts take long, none of them is late, and a second one makes them longer.
    this.hedgeTime = Math.max(Math.min(late, longest), shortest);
  }
}
