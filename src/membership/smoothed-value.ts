/** An exponentially weighted moving average. */

/** Each new sample has the weight `weight`, 0 to 1. */
export class SmoothedValue {
  private average: number | undefined;

  constructor(private readonly weight: number) {}

  /** Undefined before the first sample. */
  get value(): number | undefined {
    return this.average;
  }

  add(sample: number): void {
    this.average =
      this.average === undefined ? sample : this.average + this.weight * (sample - this.average);
  }

  reset(): void {
    this.average = undefined;
  }
}
