/** How long grants take from the request to their arrival, by the latest ones that all roots gave to a leaf. */
import { RecentSamples } from '../gateway/recent-samples.js';

const WINDOW_SAMPLES = 40;
/** With fewer samples, the delay is not known. */
const MINIMUM_SAMPLES = 8;
const REFRESH_INTERVAL_SAMPLES = 4;
/** High, as a hedge whose grant comes after it is due is late. */
const QUANTILE = 0.75;

/** Durations are milliseconds. */
export class GrantDelay {
  private readonly samples = new RecentSamples(WINDOW_SAMPLES);
  private count = 0;
  private delay: number | undefined;

  /** Records that a grant came `delayMs` after it was requested. */
  record(delayMs: number): void {
    this.samples.add(delayMs);
    this.count += 1;
    if (this.count < MINIMUM_SAMPLES || this.count % REFRESH_INTERVAL_SAMPLES !== 0) return;
    this.delay = this.samples.quantile(QUANTILE);
  }

  /** Typical delay; undefined until enough grants have come. */
  get typical(): number | undefined {
    return this.delay;
  }
}
