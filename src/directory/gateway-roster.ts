/**
 * The gateways of the fleet as one controller knows them: those that follow it,
 * and those that follow others, as these say.
 */
import type { Clock } from '../seams/clock.js';
import { GATEWAY_RETENTION_MS, ROSTER_REFRESH_INTERVAL_MS } from './directory-timing.js';
import { chooseLeaves, type KnownGateway, type LeafGateway } from './leaf-gateway.js';

/** Where the roster looks. */
export interface GatewayRosterSources {
  readonly clock: Clock;
  /** Gateways that follow this controller; the last entry of a name counts. */
  readonly own: () => Iterable<KnownGateway>;
  /** Gateways that follow other controllers. */
  readonly others: () => readonly KnownGateway[];
}

/** See the module comment. Looked up again now and then: it is asked for with every frame. */
export class GatewayRoster {
  private readonly lastSeenAt = new Map<string, number>();
  private chosenLeaves: readonly LeafGateway[] = [];
  private refreshedAt = -Infinity;

  constructor(private readonly sources: GatewayRosterSources) {}

  /** Gateways that follow this controller. */
  get own(): Iterable<KnownGateway> {
    return new Map([...this.sources.own()].map((gateway) => [gateway.name, gateway])).values();
  }

  /** Number of gateways that follow any controller now or did a short while ago. */
  get count(): number {
    this.refresh();
    return this.lastSeenAt.size;
  }

  /** Gateways that take gathers of others. */
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
    for (const [name, seenAt] of this.lastSeenAt) {
      if (now - seenAt > GATEWAY_RETENTION_MS) this.lastSeenAt.delete(name);
    }
  }
}
