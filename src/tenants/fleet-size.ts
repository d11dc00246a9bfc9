/**
 * The number of gateways among which uses without a token are divided: rather too many than too
 * few. Load: a fleet that starts at once, controllers that start again and count anew, halves that
 * are cut apart and each see only themselves.
 */

/** So long controllers take to have heard of all gateways of a fleet that starts. Milliseconds. */
const SETTLING_MS = 15_000;
/** A smaller number counts only after it has held so long. Milliseconds. */
const SHRINKING_MS = 60_000;

/** See the module comment. Times are clock readings. Milliseconds. */
export class FleetSize {
  private size: number | undefined;
  private seenAt = -Infinity;

  constructor(private readonly startedAt: number) {}

  /** What controllers say while there is an owner: a half without one does not see the other. */
  note(gateways: number | undefined, now: number): void {
    if (gateways === undefined) return;
    const isLess = this.size !== undefined && gateways < this.size;
    if (isLess && now - this.seenAt < SHRINKING_MS) return;
    this.size = Math.max(1, gateways);
    this.seenAt = now;
  }

  /** Infinity while it is not known. */
  read(now: number): number {
    const isSettled = now - this.startedAt >= SETTLING_MS;
    return isSettled && this.size !== undefined ? this.size : Infinity;
  }
}
