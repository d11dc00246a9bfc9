/** Exponentially decaying average of the rate of events. */

/** Time constant of the decay: the weight of an event falls to 1/e in this time. */
const TIME_CONSTANT_MS = 1_000;

/** Estimates the recent rate of events. Times are clock readings in milliseconds. */
export class DecayingRate {
  private weight = 0;
  private recordedAt = -Infinity;

  record(now: number): void {
    this.weight = this.decayedWeight(now) + 1;
    this.recordedAt = now;
  }

  /** Events per millisecond. */
  perMs(now: number): number {
    return this.decayedWeight(now) / TIME_CONSTANT_MS;
  }

  private decayedWeight(now: number): number {
    return this.weight * Math.exp(-(now - this.recordedAt) / TIME_CONSTANT_MS);
  }
}
