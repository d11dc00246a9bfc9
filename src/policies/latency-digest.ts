/**
 * The distribution of recent latencies, learned from replies and from attempts
 * given up before their reply. The latter are only known to have taken longer
 * than they were waited for; leaving them out would make slow replies look
 * rare, so both enter a Kaplan-Meier estimate.
 */

/** Lower bound of the second bucket. Milliseconds. */
const SMALLEST_LATENCY_MS = 0.1;
/** Upper bound of each bucket over its lower bound: the precision of every figure. */
const BUCKET_GROWTH = 1.05;
/** Reaches beyond ten minutes. */
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

/** Forgets by halving all counts each time their sum reaches `window`. */
export class LatencyDigest {
  private readonly replies = new Float64Array(BUCKET_COUNT);
  private readonly unfinished = new Float64Array(BUCKET_COUNT);
  private total = 0;

  /** @param window Most samples remembered; half of that at least once it was reached. */
  constructor(private readonly window: number) {}

  /** Samples remembered, older ones counting less. */
  get weight(): number {
    return this.total;
  }

  /** A reply took `latency` milliseconds. */
  addReply(latency: number): void {
    this.add(this.replies, latency);
  }

  /** An attempt had no reply when it was given up after `elapsed` milliseconds. */
  addUnfinished(elapsed: number): void {
    this.add(this.unfinished, elapsed);
  }

  /** The latency that a share `quantile` of replies stays below. 0 without samples. Milliseconds. */
  quantile(quantile: number): number {
    const targetSurvival = 1 - quantile;
    let surviving = 1;
    let atRisk = this.total;
    let last = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT && atRisk > 0; bucket += 1) {
      const ended = this.replies[bucket] ?? 0;
      const givenUp = this.unfinished[bucket] ?? 0;
      if (ended + givenUp > 0) last = upperBound(bucket);
      surviving *= Math.max(0, 1 - ended / atRisk);
      if (ended > 0 && surviving <= targetSurvival) return last;
      atRisk -= ended + givenUp;
    }
    return last;
  }

  /** Chance that a reply still awaited after `elapsed` comes within `wait` more milliseconds. */
  chanceOfReply(elapsed: number, wait: number): number {
    const from = bucketOf(elapsed);
    const to = bucketOf(elapsed + wait);
    let atRisk = this.weightFrom(from);
    let surviving = 1;
    for (let bucket = from; bucket <= to && atRisk > 0; bucket += 1) {
      const ended = this.replies[bucket] ?? 0;
      surviving *= Math.max(0, 1 - ended / atRisk);
      atRisk -= ended + (this.unfinished[bucket] ?? 0);
    }
    return 1 - surviving;
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
