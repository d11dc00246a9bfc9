/**
 * Estimates how long the messages of one connection were on the way and in the receiver's queue,
 * beyond the shortest such time. The clocks of the two processes have different origins, so only
 * differences between messages count: as in LEDBAT, the smallest recent difference is the base.
 */

/**
 * Length of one of the two windows over which the base is taken. A base of an earlier state of the
 * clocks is forgotten after two of them. Milliseconds.
 */
const BASE_WINDOW_MS = 10_000;

/** Of one connection, at its receiver. Durations are milliseconds. */
export class TransitDelay {
  private windowStart = -Infinity;
  private current = Infinity;
  private previous = Infinity;

  /**
   * Records a message and returns its delay. `sentAt` is a reading of the sender's clock, `now` of
   * the receiver's.
   */
  record(sentAt: number, now: number): number {
    const difference = now - sentAt;
    if (now - this.windowStart >= BASE_WINDOW_MS) this.startWindow(now);
    this.current = Math.min(this.current, difference);
    return difference - Math.min(this.current, this.previous);
  }

  private startWindow(now: number): void {
    const isPreviousRecent = now - this.windowStart < 2 * BASE_WINDOW_MS;
    this.previous = isPreviousRecent ? this.current : Infinity;
    this.current = Infinity;
    this.windowStart = now;
  }
}
