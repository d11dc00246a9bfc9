/**
 * One controller's view of the gateways in the fleet: those that follow it, and those that follow
 * other controllers, as reported by them.
 */
import type { Clock } from '../seams/clock.js';
import { GATEWAY_RETENTION_MS, ROSTER_REFRESH_INTERVAL_MS } from './directory-timing.js';
import { chooseLeaves, type KnownGateway, type LeafGateway } from './leaf-gateway.js';

/** What the roster reads its gateways from. */
export interface GatewayRosterSources {
  readonly clock: Clock;
  /** Gateways that follow this controller; of several entries with one name the last counts. */
  readonly own: () => Iterable<KnownGateway>;
  /** Gateways that follow other controllers. */
  readonly others: () => readonly KnownGateway[];
}

/** Refreshed at an interval rather than on each use, because it is read for every frame. */
export class GatewayRoster {
  private readonly lastSeenAt = new Map<string, number>();
  private chosenLeaves: readonly LeafGateway[] = [];
  private refreshedAt = -Infinity;

  constructor(private readonly sources: GatewayRosterSources) {}

  /** Gateways that follow this controller. */
  get own(): Iterable<KnownGateway> {
    return new Map([...this.sources.own()].map((gateway) => [gateway.name, gateway])).values();
  }

  /** Number of gateways that follow any controller, or did so within {@link GATEWAY_RETENTION_MS}. */
  get count(): number {
    this.refresh();
    return this.lastSeenAt.size;
  }

  /** The leaf gateways, which accept gathers from other gateways. */
  get leaves(): readonly LeafGateway[] {
    this.refresh();
    return this.chosenLeaves;
  }

  private refresh(): void {
    const now = this.sources.clock.now();
    if (now - this.refreshedAt < ROSTER_REFRESH_INTERVAL_MS) return;
    this.refreshedAt = now;
    const known = new Map(this.sources.others().map((other) => [other.name, other]));
    for (const gateway of this.sources.own()) known.set(gateway.name, gateway);
    this.chosenLeaves = chooseLeaves(known.values());
    for (const name of known.keys()) this.lastSeenAt.set(name, now);
    for (const [name, lastSeenAt] of this.lastSeenAt) {
      if (now - lastSeenAt > GATEWAY_RETENTION_MS) this.lastSeenAt.delete(name);
    }
  }
}
