/** How long the attempts of one route usually take, learned from those that ended and those given up. */
import { LatencyDigest } from '../policies/latency-digest.js';

const WINDOW_SAMPLES = 400;
/** Below this many samples the route's target stands in: two gathers of a leaf. */
const MINIMUM_SAMPLES = 16;
const REFRESH_INTERVAL_SAMPLES = 16;
const MEDIAN_QUANTILE = 0.5;
const HEDGE_QUANTILE = 0.9;

/** Parts of the target latency that stand in for what is not known yet, or bound it. */
const INITIAL_MEDIAN_FRACTION = 0.15;
const INITIAL_HEDGE_FRACTION = 0.3;
const MAXIMUM_HEDGE_FRACTION = 0.38;
const MINIMUM_HEDGE_OVER_MEDIAN = 1.4;

/** See the module comment. Durations are milliseconds. */
export class RouteLatency {
  private readonly digest = new LatencyDigest(WINDOW_SAMPLES);
  private sinceRefresh = 0;
  private medianTime: number;
  private hedgeTime: number;

  constructor(private readonly target: number) {
    this.medianTime = target * INITIAL_MEDIAN_FRACTION;
    this.hedgeTime = target * INITIAL_HEDGE_FRACTION;
  }

  /** Median time of an attempt. */
  get median(): number {
    return this.medianTime;
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
    if (this.sinceRefresh < REFRESH_INTERVAL_SAMPLES || this.digest.weight < MINIMUM_SAMPLES)
      return;
    this.sinceRefresh = 0;
    this.medianTime = this.digest.quantile(MEDIAN_QUANTILE);
    const hedgeQuantile = this.digest.quantile(HEDGE_QUANTILE);
    const maximum = this.target * MAXIMUM_HEDGE_FRACTION;
    const minimum = this.medianTime * MINIMUM_HEDGE_OVER_MEDIAN;
    // Where all attempts take long, none of them is late, and a second one makes them longer.
    this.hedgeTime = Math.max(Math.min(hedgeQuantile, maximum), minimum);
  }
}
