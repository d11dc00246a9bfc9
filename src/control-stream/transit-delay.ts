/**
 * Estimates the transit delay of messages from the sender's clock reading in
 * them. The clocks need not agree: the smallest difference seen on a connection
 * counts as no delay. A message that a partition held back is thus recognized
 * as old, although it has only just arrived.
 */

/** Assumed maximum drift between two clocks, as a fraction of the elapsed time. */
const CLOCK_DRIFT_FRACTION = 0.001;

/** The estimate for one connection; messages must be passed in the order of their arrival. */
export class TransitDelay {
  private smallestDifference: number;
  private previousReceivedAt: number;

  /** Starts from the first message, which answers a request and so cannot be old. */
  constructor(sourceTime: number, receivedAt: number) {
    this.smallestDifference = receivedAt - sourceTime;
    this.previousReceivedAt = receivedAt;
  }

  /** Returns a message's delay in excess of the smallest one seen. Milliseconds. */
  delayOf(sourceTime: number, receivedAt: number): number {
    const elapsed = receivedAt - this.previousReceivedAt;
    this.previousReceivedAt = receivedAt;
    const difference = receivedAt - sourceTime;
    const allowance = this.smallestDifference + elapsed * CLOCK_DRIFT_FRACTION;
    this.smallestDifference = Math.min(allowance, difference);
    return difference - this.smallestDifference;
  }
}
