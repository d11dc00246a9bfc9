/** Latency quantiles of one route's attempts, learned from finished and cancelled ones. */
import { LatencyDigest } from '../policies/latency-digest.js';

const WINDOW_SAMPLES = 400;
/** Samples of two gathers of a leaf; with fewer, fractions of the target latency are used. */
const MINIMUM_SAMPLES = 16;
const REFRESH_INTERVAL_SAMPLES = 16;
const MEDIAN_QUANTILE = 0.5;
const HEDGE_QUANTILE = 0.9;

/** Fractions of the target latency: initial values, and the upper bound of the hedge delay. */
const INITIAL_MEDIAN_FRACTION = 0.15;
const INITIAL_HEDGE_FRACTION = 0.3;
const MAXIMUM_HEDGE_FRACTION = 0.38;
/** Lower bound of the hedge delay, as a multiple of the median. */
const MINIMUM_HEDGE_OVER_MEDIAN = 1.4;

/** Median latency and hedge delay of one route. Durations are milliseconds. */
export class RouteLatency {
  private readonly digest = new LatencyDigest(WINDOW_SAMPLES);
  private sinceRefresh = 0;
  private medianTime: number;
  private hedgeTime: number;

  constructor(private readonly target: number) {
    this.medianTime = target * INITIAL_MEDIAN_FRACTION;
    this.hedgeTime = target * INITIAL_HEDGE_FRACTION;
  }

  /** Median latency of an attempt. */
  get median(): number {
    return this.medianTime;
  }

  /** Time after which an attempt is late and should be hedged. */
  get hedgeDelay(): number {
    return this.hedgeTime;
  }

  /** Latency of an attempt at that quantile, 0 to 1; undefined until enough attempts have ended. */
  quantile(quantile: number): number | undefined {
    return this.digest.weight < MINIMUM_SAMPLES ? undefined : this.digest.quantile(quantile);
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
    // If all attempts are slow, none of them is late, and hedges would only slow them further.
    this.hedgeTime = Math.max(Math.min(hedgeQuantile, maximum), minimum);
  }
}
