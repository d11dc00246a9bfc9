/**
 * A histogram of recent latencies, built from replies and from attempts that were
 * cancelled before their reply. A cancelled attempt is a censored sample: its
 * latency is only known to exceed the time waited. Leaving these samples out would
 * make slow replies look rare, so quantiles use the Kaplan-Meier estimator.
 */

/** Lower bound of the second bucket. Milliseconds. */
const SMALLEST_LATENCY_MS = 0.1;
/** Ratio of each bucket's upper bound to its lower bound; bounds the relative error of every result. */
const BUCKET_GROWTH = 1.05;
/** Enough buckets to cover latencies beyond ten minutes. */
const BUCKET_COUNT = 324;
const LOG_GROWTH = Math.log(BUCKET_GROWTH);

function bucketOf(latency: number): number {
  if (latency <= SMALLEST_LATENCY_MS) return 0;
  const index = 1 + Math.floor(Math.log(latency / SMALLEST_LATENCY_MS) / LOG_GROWTH);
  return Math.min(index, BUCKET_COUNT - 1);
}

function upperBound(bucket: number): number {
  return SMALLEST_LATENCY_MS * BUCKET_GROWTH ** bucket;
}

/** Ages samples by halving all counts each time their sum reaches `window`. */
export class LatencyDigest {
  private readonly replies = new Float64Array(BUCKET_COUNT);
  private readonly unfinished = new Float64Array(BUCKET_COUNT);
  private total = 0;

  /** @param window Largest sum of the sample weights; once reached, the sum stays between half of it and all of it. */
  constructor(private readonly window: number) {}

  /** Sum of the sample weights; older samples weigh less. */
  get weight(): number {
    return this.total;
  }

  /** Adds a reply that took `latency` milliseconds. */
  addReply(latency: number): void {
    this.add(this.replies, latency);
  }

  /** Adds an attempt that was cancelled without a reply after `elapsed` milliseconds. */
  addUnfinished(elapsed: number): void {
    this.add(this.unfinished, elapsed);
  }

  /** The latency at `quantile`, 0 to 1; 0 without samples. Milliseconds. */
  quantile(quantile: number): number {
    const targetSurvival = 1 - quantile;
    let survival = 1;
    let atRisk = this.total;
    let last = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT && atRisk > 0; bucket += 1) {
      const replied = this.replies[bucket] ?? 0;
      const censored = this.unfinished[bucket] ?? 0;
      if (replied + censored > 0) last = upperBound(bucket);
      survival *= Math.max(0, 1 - replied / atRisk);
      if (replied > 0 && survival <= targetSurvival) return last;
      atRisk -= replied + censored;
    }
    return last;
  }

  /** Probability that a reply pending after `elapsed` arrives within `wait` more. Milliseconds. */
  chanceOfReply(elapsed: number, wait: number): number {
    const from = bucketOf(elapsed);
    const to = bucketOf(elapsed + wait);
    let atRisk = this.weightFrom(from);
    let survival = 1;
    for (let bucket = from; bucket <= to && atRisk > 0; bucket += 1) {
      const replied = this.replies[bucket] ?? 0;
      survival *= Math.max(0, 1 - replied / atRisk);
      atRisk -= replied + (this.unfinished[bucket] ?? 0);
    }
    return 1 - survival;
  }

  private weightFrom(first: number): number {
    let sum = 0;
    for (let bucket = first; bucket < BUCKET_COUNT; bucket += 1) {
      sum += (this.replies[bucket] ?? 0) + (this.unfinished[bucket] ?? 0);
    }
    return sum;
  }

  private add(counts: Float64Array, milliseconds: number): void {
    const bucket = bucketOf(milliseconds);
    counts[bucket] = (counts[bucket] ?? 0) + 1;
    this.total += 1;
    if (this.total >= this.window) this.halve();
  }

  private halve(): void {
    for (const counts of [this.replies, this.unfinished]) {
      for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
        counts[bucket] = (counts[bucket] ?? 0) / 2;
      }
    }
    this.total /= 2;
  }
}
