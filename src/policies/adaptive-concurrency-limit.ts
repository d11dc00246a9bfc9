/**
 * A limit on concurrent requests that adapts to observed latency. Below the back
 * ends' capacity, latency does not depend on concurrency; above it, latency grows
 * with concurrency and throughput does not. Each window multiplies the limit by
 * the ratio of tolerated to mean latency, where that is below 1, and adds a constant.
 *
 * The tolerated latency is a multiple of the baseline latency: the lowest mean of
 * a window. The baseline rises when the limit is not used, since no requests queue
 * then, and when throughput falls while the limit is used, since the back ends have
 * then become slower. It does not rise with time alone: an overload of any length
 * must not become the baseline. The limit counts as used in a window
 * in which the requests in flight reached at least half of it.
 */

/** Requests after which the limit is recomputed. */
const SAMPLES_PER_WINDOW = 64;
/** Mean latency relative to the baseline up to which the limit does not shrink. */
const TOLERATED_LATENCY_RATIO = 2;
/** Lower bound of the factor by which one window shrinks the limit. */
const MINIMUM_SHRINK_FACTOR = 0.5;
/** Requests added to the limit in each window. */
const INCREASE_PER_WINDOW = 4;
const INITIAL_LIMIT = 32;
/** Weight of the mean latency of an unused window in the moving average of the baseline. */
const UNUSED_WINDOW_WEIGHT = 0.05;
/** Below this fraction of the best throughput the back ends count as having become slower. */
const SLOW_THROUGHPUT_FRACTION = 0.7;
/** Fraction by which a slow window raises the baseline and lowers the best throughput. */
const SLOW_WINDOW_STEP_FRACTION = 0.1;

/** Computes the limit only; the caller counts and enforces the requests in flight. */
export class AdaptiveConcurrencyLimit {
  private limit: number;
  /** Mean latency of the last window. Milliseconds. */
  private lastMeanLatency = 0;
  /** Latency without queueing; undefined before the end of the first window. Milliseconds. */
  private baselineLatency: number | undefined;
  /** Highest throughput of windows that used the limit, lowered in slow windows. Requests per millisecond. */
  private bestThroughput = 0;
  private windowStart: number | undefined;
  private latencySum = 0;
  private samples = 0;
  private peakInFlight = 0;

  constructor(private readonly maximum: number) {
    this.limit = Math.min(maximum, INITIAL_LIMIT);
  }

  /** Requests that may be in flight; at least 1. */
  get value(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  /** Mean latency of the last window; 0 before the end of the first. Milliseconds. */
  get meanLatency(): number {
    return this.lastMeanLatency;
  }

  /** A request ended at clock time `now` after `latency`, one of `inFlight` requests. Milliseconds. */
  record(latency: number, inFlight: number, now: number): void {
    this.windowStart ??= now;
    this.latencySum += latency;
    this.samples += 1;
    this.peakInFlight = Math.max(this.peakInFlight, inFlight);
    if (this.samples >= SAMPLES_PER_WINDOW) this.endWindow(now - this.windowStart, now);
  }

  private endWindow(duration: number, now: number): void {
    this.lastMeanLatency = this.latencySum / this.samples;
    const isUsed = this.peakInFlight * 2 >= this.limit;
    const baseline = isUsed
      ? this.baselineOfUsedWindow(
          this.lastMeanLatency,
          duration > 0 ? this.samples / duration : Infinity,
        )
      : this.baselineOfUnusedWindow(this.lastMeanLatency);
    this.baselineLatency = Math.min(baseline, this.lastMeanLatency);
    this.adjustLimit(
      (TOLERATED_LATENCY_RATIO * this.baselineLatency) / this.lastMeanLatency,
      isUsed,
    );
    this.windowStart = now;
    this.latencySum = 0;
    this.samples = 0;
    this.peakInFlight = 0;
  }

  private baselineOfUnusedWindow(meanLatency: number): number {
    const { baselineLatency = meanLatency } = this;
    return baselineLatency + UNUSED_WINDOW_WEIGHT * (meanLatency - baselineLatency);
  }

  private baselineOfUsedWindow(meanLatency: number, throughput: number): number {
    const { baselineLatency = meanLatency, bestThroughput } = this;
    const isSlow = throughput < SLOW_THROUGHPUT_FRACTION * bestThroughput;
    const best = isSlow ? bestThroughput * (1 - SLOW_WINDOW_STEP_FRACTION) : bestThroughput;
    if (Number.isFinite(throughput)) this.bestThroughput = Math.max(best, throughput);
    return isSlow ? baselineLatency * (1 + SLOW_WINDOW_STEP_FRACTION) : baselineLatency;
  }

  /** The limit does not grow while it is not used. */
  private adjustLimit(ratio: number, isUsed: boolean): void {
    const factor = Math.min(1, Math.max(MINIMUM_SHRINK_FACTOR, ratio));
    const next = this.limit * factor + INCREASE_PER_WINDOW;
    if (next > this.limit && !isUsed) return;
    this.limit = Math.min(this.maximum, next);
  }
}
