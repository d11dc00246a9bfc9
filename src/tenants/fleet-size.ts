/**
 * The number of gateways among which uses without a token are divided: rather too many than too
 * few. Load: a fleet that starts at once, controllers that start again and count anew, halves that
 * are cut apart and each see only themselves.
 */

/** So long controllers take to have heard of all gateways of a fleet that starts. Milliseconds. */
const DISCOVERY_MS = 15_000;
/** A smaller number counts only after it has held so long. Milliseconds. */
const SHRINK_DELAY_MS = 60_000;

/** See the module comment. Times are clock readings. Milliseconds. */
export class FleetSize {
  private size: number | undefined;
  private updatedAt = -Infinity;

  constructor(private readonly startedAt: number) {}

  /** What controllers say while there is an owner: a half without one does not see the other. */
  update(gateways: number | undefined, now: number): void {
    if (gateways === undefined) return;
    const isSmaller = this.size !== undefined && gateways < this.size;
    if (isSmaller && now - this.updatedAt < SHRINK_DELAY_MS) return;
    this.size = Math.max(1, gateways);
    this.updatedAt = now;
  }

  /** Infinity while it is not known. */
  estimate(now: number): number {
    const isDiscoveryComplete = now - this.startedAt >= DISCOVERY_MS;
    return isDiscoveryComplete && this.size !== undefined ? this.size : Infinity;
  }
}
