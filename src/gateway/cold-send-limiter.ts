/**
 * Limits requests to a cold replica: one that has just started or turned cold again and bears only
 * a limited rate from all gateways together. Time is divided into intervals that match this
 * gateway's share of the rate. The gateway may send once per interval, in a window at its start.
 * Intervals start at a different phase at each gateway, so the fleet keeps to the rate even when
 * many idle gateways want to send at the same moment.
 */

/**
 * Longest send window at the start of an interval. Gateways whose intervals start within one second
 * plus this window can all send within the same second.
 */
const MAXIMUM_SEND_WINDOW_MS = 500;
/** Fraction of the rate that is distributed; the rest allows for unevenly spread phases. */
const USED_FRACTION = 0.6;
const MILLISECONDS_PER_SECOND = 1_000;

/** Length of the interval in which one gateway may send once to a cold replica. Milliseconds. */
export function coldSendInterval(requestsPerSecond: number, gateways: number): number {
  return (MILLISECONDS_PER_SECOND * gateways) / (requestsPerSecond * USED_FRACTION);
}

/** Limiter of one gateway for one replica. Times are clock readings in milliseconds. */
export class ColdSendLimiter {
  private lastInterval: number | undefined;

  constructor(
    /** Offset of the intervals as a fraction of their length, from 0 to below 1. */
    private readonly phase: number,
  ) {}

  allows(now: number, interval: number): boolean {
    const position = now / interval + this.phase;
    const sinceStart = (position % 1) * interval;
    return sinceStart < MAXIMUM_SEND_WINDOW_MS && Math.floor(position) !== this.lastInterval;
  }

  /** Records that a request was sent, which uses up the current interval. */
  recordSend(now: number, interval: number): void {
    this.lastInterval = Math.floor(now / interval + this.phase);
  }
}
