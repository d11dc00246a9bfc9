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
const WINDOW_SAMPLES = 64;
/** Latency over the one without load that is still taken for normal. */
const TOLERATED_LATENCY_RATIO = 2;
/** Most by which one window shrinks the limit. */
const LARGEST_DECREASE = 0.5;
/** Added in each window. */
const INCREASE = 4;
const INITIAL_LIMIT = 32;
/** Weight of a window's mean when the limit is not used. */
const CALM_WEIGHT = 0.05;
/** Below this share of the best throughput the back ends have turned slow. */
const SLOW_THROUGHPUT_SHARE = 0.7;
/** By which latency without load grows, and best throughput shrinks, in a slow window. */
const SLOW_STEP = 0.1;

/** Learns; does not count requests itself. */
export class LearnedLimit {
  private limit: number;
  /** Of the last window. Milliseconds. */
  private mean = 0;
  /** Latency without load; undefined before the first window. Milliseconds. */
  private unloaded: number | undefined;
  /** Of windows that used the limit. Requests per millisecond. */
  private bestThroughput = 0;
  private windowStart: number | undefined;
  private sum = 0;
  private samples = 0;
  private mostInFlight = 0;

  constructor(private readonly maximum: number) {
    this.limit = Math.min(maximum, INITIAL_LIMIT);
  }

  /** At least 1. */
  get value(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  /** Mean of the last window; 0 before the first. Milliseconds. */
  get meanLatency(): number {
    return this.mean;
  }

  /** A request took `latency` milliseconds, with `inFlight` at work at its end, at time `now`. */
  record(latency: number, inFlight: number, now: number): void {
    this.windowStart ??= now;
    this.sum += latency;
    this.samples += 1;
    this.mostInFlight = Math.max(this.mostInFlight, inFlight);
    if (this.samples >= WINDOW_SAMPLES) this.endWindow(now - this.windowStart, now);
  }

  private endWindow(duration: number, now: number): void {
    this.mean = this.sum / this.samples;
    const isUsed = this.mostInFlight * 2 >= this.limit;
    const unloaded = isUsed
      ? this.learnUsed(this.mean, duration > 0 ? this.samples / duration : Infinity)
      : this.learnUnused(this.mean);
    this.unloaded = Math.min(unloaded, this.mean);
    this.adjust((TOLERATED_LATENCY_RATIO * this.unloaded) / this.mean, isUsed);
    this.windowStart = now;
    this.sum = 0;
    this.samples = 0;
    this.mostInFlight = 0;
  }

  private learnUnused(mean: number): number {
    const { unloaded = mean } = this;
    return unloaded + CALM_WEIGHT * (mean - unloaded);
  }

  private learnUsed(mean: number, throughput: number): number {
    const { unloaded = mean, bestThroughput } = this;
    const isSlow = throughput < SLOW_THROUGHPUT_SHARE * bestThroughput;
    const best = isSlow ? bestThroughput * (1 - SLOW_STEP) : bestThroughput;
    if (Number.isFinite(throughput)) this.bestThroughput = Math.max(best, throughput);
    return isSlow ? unloaded * (1 + SLOW_STEP) : unloaded;
  }

  /** A limit that is not used does not grow. */
  private adjust(ratio: number, isUsed: boolean): void {
    const factor = Math.min(1, Math.max(LARGEST_DECREASE, ratio));
    const next = this.limit * factor + INCREASE;
    if (next > this.limit && !isUsed) return;
    this.limit = Math.min(this.maximum, next);
  }
}
