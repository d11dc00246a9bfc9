/** Events a millisecond, of late: an average that forgets with time. */

/** In which a past event loses most of its weight. Milliseconds. */
const MEMORY_MS = 1_000;

/** See the module comment. Times are clock readings. Milliseconds. */
export class SmoothedRate {
  private weight = 0;
  private countedAt = -Infinity;

  note(now: number): void {
    this.weight = this.faded(now) + 1;
    this.countedAt = now;
  }

  /** Events a millisecond. */
  read(now: number): number {
    return this.faded(now) / MEMORY_MS;
  }

  private faded(now: number): number {
    return this.weight * Math.exp(-(now - this.countedAt) / MEMORY_MS);
  }
}
