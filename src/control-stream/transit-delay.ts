/**
 * Tells how long a message was under way, from the sender's clock reading in
 * it. The clocks need not agree: the smallest difference seen on a connection
 * stands for "no delay". A message that a cut held back is thereby seen as old,
 * although it has only just arrived.
 */

/** Share by which two clocks may run apart. */
const CLOCK_DRIFT_FRACTION = 0.001;

/** One connection's estimate. */
export class TransitDelay {
  private smallestDifference: number;
  private previousReceivedAt: number;

  /** From the first message, which answered a request and so cannot be old. */
  constructor(sourceTime: number, receivedAt: number) {
    this.smallestDifference = receivedAt - sourceTime;
    this.previousReceivedAt = receivedAt;
  }

  /** Delay of a message beyond the smallest one seen. Milliseconds. */
  delayOf(sourceTime: number, receivedAt: number): number {
    const elapsed = receivedAt - this.previousReceivedAt;
    this.previousReceivedAt = receivedAt;
    const difference = receivedAt - sourceTime;
    const allowance = this.smallestDifference + elapsed * CLOCK_DRIFT_FRACTION;
    this.smallestDifference = Math.min(allowance, difference);
    return difference - this.smallestDifference;
  }
}
