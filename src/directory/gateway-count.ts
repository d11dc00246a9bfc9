/**
 * Number of gateways in the fleet, by which a gateway computes its share of fleet-wide limits. A
 * controller that has just started counts only the gateways that already follow it again, so the
 * count falls only once a lower one has been reported for a while.
 */
import type { Clock } from '../seams/clock.js';
import { GATEWAY_RETENTION_MS } from './directory-timing.js';

/** Call {@link GatewayCount.update} whenever a stream starts or ends; the count itself is read at any time. */
export class GatewayCount {
  private count: number | undefined;
  /** When {@link count} was last reported. Clock reading. */
  private confirmedAt = -Infinity;
  /** Whether no controller has been followed since the last update. */
  private isUnreported = false;

  constructor(
    private readonly clock: Clock,
    /** Counts that the followed controllers report; empty while none is followed. */
    private readonly reported: () => readonly number[],
  ) {}

  /** Undefined before the first report. Keeps the last count while no controller is followed. */
  get current(): number | undefined {
    this.update();
    return this.count;
  }

  update(): void {
    const now = this.clock.now();
    const counts = this.reported();
    if (counts.length === 0) {
      this.isUnreported = true;
      return;
    }
    // The time without a controller does not count, as none could report anything.
    if (this.isUnreported) this.confirmedAt = now;
    this.isUnreported = false;
    const highest = Math.max(...counts);
    const isRetained = this.count !== undefined && now - this.confirmedAt < GATEWAY_RETENTION_MS;
    if (isRetained && highest < (this.count ?? 0)) return;
    this.count = highest;
    this.confirmedAt = now;
  }
}
