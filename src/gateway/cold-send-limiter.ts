/**
 * When this gateway may send to a replica that has just started, or turned cold again,
 * and bears only so many requests a second from all gateways together. Time is cut into
 * slots as long as the gateway's share takes; it may send once in each, and only in the
 * first moments of it. Slots begin at another time at each gateway, so the sum keeps to
 * the bound also when many gateways that sent nothing for long want to at the same moment.
 */

/**
 * Longest part of a slot in which the gateway may send. All whose slots begin within a
 * second and this time may meet in one second. Milliseconds.
 */
const MAXIMUM_SEND_WINDOW_MS = 500;
/** Part of the bound that is shared out; the rest is for chance in where slots begin. */
const USED_FRACTION = 0.6;
const MILLISECONDS_PER_SECOND = 1_000;

/** Length of a slot. Milliseconds. */
export function coldSendInterval(requestsPerSecond: number, gateways: number): number {
  return (MILLISECONDS_PER_SECOND * gateways) / (requestsPerSecond * USED_FRACTION);
}

/** See the module comment. */
export class ColdSendLimiter {
  private lastInterval: number | undefined;

  constructor(
    /** Where slots begin, as a part of their length. From 0 to below 1. */
    private readonly phase: number,
  ) {}

  allows(now: number, interval: number): boolean {
    const position = now / interval + this.phase;
    const sinceStart = (position % 1) * interval;
    return sinceStart < MAXIMUM_SEND_WINDOW_MS && Math.floor(position) !== this.lastInterval;
  }

  /** A request was sent. */
  recordSend(now: number, interval: number): void {
    this.lastInterval = Math.floor(now / interval + this.phase);
  }
}
