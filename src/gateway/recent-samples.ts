/** Quantiles of the latest samples; all weigh the same, and earlier ones are forgotten entirely. */

/** Holds up to `capacity` numbers. */
export class RecentSamples {
  private readonly samples: number[] = [];
  private next = 0;

  constructor(private readonly capacity: number) {}

  add(sample: number): void {
    this.samples[this.next] = sample;
    this.next = (this.next + 1) % this.capacity;
  }

  /** The sample at `quantile`, 0 to 1; 0 without samples. */
  quantile(quantile: number): number {
    const sorted = [...this.samples].sort((left, right) => left - right);
    const position = Math.min(sorted.length - 1, Math.floor(quantile * sorted.length));
    return sorted[position] ?? 0;
  }
}
