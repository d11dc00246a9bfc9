/**
 * How many requests may be at work at once, learned from how long they take.
 * Below what the back ends can take, latency does not depend on the number;
 * above, it grows with it and throughput does not. The limit shrinks by how
 * much latency exceeds a multiple of the latency without load, and grows by a
 * constant.
 *
 * The latency without load is the least seen. It is raised when the limit is
 * not used, since nothing queues then, and when throughput falls at a used
 * limit, since then the back ends have turned slow. It is not raised merely
 * because time passes: an overload of any length must not be taken for usual.
 */

/** Requests after which the limit is reckoned afresh. */
const SAMPLES_PER_WINDOW = 64;
/** Latency over the one without load that is still taken for normal. */
const TOLERATED_LATENCY_RATIO = 2;
/** Most by which one window shrinks the limit. */
const MINIMUM_SHRINK_FACTOR = 0.5;
/** Added in each window. */
const INCREASE_PER_WINDOW = 4;
const INITIAL_LIMIT = 32;
/** Weight of a window's mean when the limit is not used. */
const UNUSED_WINDOW_WEIGHT = 0.05;
/** Below this share of the best throughput the back ends have turned slow. */
const SLOW_THROUGHPUT_FRACTION = 0.7;
/** By which latency without load grows, and best throughput shrinks, in a slow window. */
const SLOW_WINDOW_STEP_FRACTION = 0.1;

/** Learns; does not count requests itself. */
export class AdaptiveConcurrencyLimit {
  private limit: number;
  /** Of the last window. Milliseconds. */
  private lastMeanLatency = 0;
  /** Latency without load; undefined before the first window. Milliseconds. */
  private baselineLatency: number | undefined;
  /** Of windows that used the limit. Requests per millisecond. */
  private bestThroughput = 0;
  private windowStart: number | undefined;
  private latencySum = 0;
  private samples = 0;
  private peakInFlight = 0;

  constructor(private readonly maximum: number) {
    this.limit = Math.min(maximum, INITIAL_LIMIT);
  }

  /** At least 1. */
  get value(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  /** Mean of the last window; 0 before the first. Milliseconds. */
  get meanLatency(): number {
    return this.lastMeanLatency;
  }

  /** A request took `latency` milliseconds, with `inFlight` at work at its end, at time `now`. */
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
    const unloaded = isUsed
      ? this.baselineOfUsedWindow(
          this.lastMeanLatency,
          duration > 0 ? this.samples / duration : Infinity,
        )
      : this.baselineOfUnusedWindow(this.lastMeanLatency);
    this.baselineLatency = Math.min(unloaded, this.lastMeanLatency);
    this.adjustLimit(
      (TOLERATED_LATENCY_RATIO * this.baselineLatency) / this.lastMeanLatency,
      isUsed,
    );
    this.windowStart = now;
    this.latencySum = 0;
    this.samples = 0;
    this.peakInFlight = 0;
  }

  private baselineOfUnusedWindow(mean: number): number {
    const { baselineLatency: unloaded = mean } = this;
    return unloaded + UNUSED_WINDOW_WEIGHT * (mean - unloaded);
  }

  private baselineOfUsedWindow(mean: number, throughput: number): number {
    const { baselineLatency: unloaded = mean, bestThroughput } = this;
    const isSlow = throughput < SLOW_THROUGHPUT_FRACTION * bestThroughput;
    const best = isSlow ? bestThroughput * (1 - SLOW_WINDOW_STEP_FRACTION) : bestThroughput;
    if (Number.isFinite(throughput)) this.bestThroughput = Math.max(best, throughput);
    return isSlow ? unloaded * (1 + SLOW_WINDOW_STEP_FRACTION) : unloaded;
  }

  /** A limit that is not used does not grow. */
  private adjustLimit(ratio: number, isUsed: boolean): void {
    const factor = Math.min(1, Math.max(MINIMUM_SHRINK_FACTOR, ratio));
    const next = this.limit * factor + INCREASE_PER_WINDOW;
    if (next > this.limit && !isUsed) return;
    this.limit = Math.min(this.maximum, next);
  }
}
