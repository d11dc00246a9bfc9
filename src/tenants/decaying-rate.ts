/** Events a millisecond, of late: an average that forgets with time. */

/** In which a past event loses most of its weight. Milliseconds. */
const TIME_CONSTANT_MS = 1_000;

/** See the module comment. Times are clock readings. Milliseconds. */
export class DecayingRate {
  private weight = 0;
  private recordedAt = -Infinity;

  record(now: number): void {
    this.weight = this.decayedWeight(now) + 1;
    this.recordedAt = now;
  }

  /** Events a millisecond. */
  perMs(now: number): number {
    return this.decayedWeight(now) / TIME_CONSTANT_MS;
  }

  private decayedWeight(now: number): number {
    return this.weight * Math.exp(-(now - this.recordedAt) / TIME_CONSTANT_MS);
  }
}
