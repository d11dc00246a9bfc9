/**
 * Estimates the number of gateways among which unconfirmed uses are divided. The estimate errs on the
 * high side while a whole fleet starts, while restarted controllers count gateways from zero, and
 * during a network partition in which each side sees only its own gateways.
 */

/** Time in which controllers discover all gateways of a fleet that starts. */
const DISCOVERY_MS = 15_000;
/**
 * A smaller number is accepted only when no number as large as the present one was reported for
 * this long.
 */
const SHRINK_DELAY_MS = 60_000;

/** Grows at once and shrinks after a delay. Times are clock readings in milliseconds. */
export class FleetSize {
  private size: number | undefined;
  private updatedAt = -Infinity;

  constructor(private readonly startedAt: number) {}

  /**
   * Call only while a quota owner is known: a side of a partition without an owner doesn't see the
   * other gateways.
   */
  update(gateways: number | undefined, now: number): void {
    if (gateways === undefined) return;
    const isSmaller = this.size !== undefined && gateways < this.size;
    if (isSmaller && now - this.updatedAt < SHRINK_DELAY_MS) return;
    this.size = Math.max(1, gateways);
    this.updatedAt = now;
  }

  /** Number of gateways; Infinity while it isn't known. */
  estimate(now: number): number {
    const isDiscoveryComplete = now - this.startedAt >= DISCOVERY_MS;
    return isDiscoveryComplete && this.size !== undefined ? this.size : Infinity;
  }
}
