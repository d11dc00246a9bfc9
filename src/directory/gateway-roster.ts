/**
 * The gateways of the fleet as one controller knows them: those that follow it,
 * and those that follow others, as these say. After a start also those that it had
 * known before: when a whole fleet starts again, they will be there in a moment.
 */
import type { Clock } from '../seams/clock.js';
import {
  GATEWAY_REMEMBERED_MS,
  RESTORED_GATEWAYS_MS,
  ROSTER_INTERVAL_MS,
  YOUNG_ROSTER_INTERVAL_MS,
} from './directory-timing.js';
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
  private readonly seenAt = new Map<string, number>();
  private chosenLeaves: readonly LeafGateway[] = [];
  private known: readonly KnownGateway[] = [];
  private restored: readonly KnownGateway[] = [];
  private readonly startedAt: number;
  private refreshedAt = -Infinity;

  constructor(private readonly sources: GatewayRosterSources) {
    this.startedAt = sources.clock.now();
  }

  /** Gateways that were known before the controller started; used while it is young. */
  useRestored(gateways: readonly KnownGateway[]): void {
    this.restored = gateways;
    this.refreshedAt = -Infinity;
  }

  /** Gateways that follow any controller; the restored ones are not among them. */
  get all(): readonly KnownGateway[] {
    this.refresh();
    return this.known;
  }

  /** Gateways that follow this controller. */
  get own(): Iterable<KnownGateway> {
    return new Map([...this.sources.own()].map((gateway) => [gateway.name, gateway])).values();
  }

  /** Number of gateways that follow any controller now or did a short while ago. */
  get count(): number {
    this.refresh();
    return this.seenAt.size;
  }

  /** Gateways that take gathers of others. */
  get leaves(): readonly LeafGateway[] {
    this.refresh();
    return this.chosenLeaves;
  }

  private refresh(): void {
    const now = this.sources.clock.now();
    const isYoung = now - this.startedAt < RESTORED_GATEWAYS_MS;
    const interval = isYoung ? YOUNG_ROSTER_INTERVAL_MS : ROSTER_INTERVAL_MS;
    if (now - this.refreshedAt < interval) return;
    this.refreshedAt = now;
    const live = [...this.sources.others(), ...this.sources.own()];
    this.known = [...new Map(live.map((gateway) => [gateway.name, gateway])).values()];
    const expected = isYoung ? [...this.restored, ...this.known] : this.known;
    const known = new Map(expected.map((gateway) => [gateway.name, gateway]));
    this.chosenLeaves = chooseLeaves(known.values());
    for (const name of known.keys()) this.seenAt.set(name, now);
    for (const [name, seenAt] of this.seenAt) {
      if (now - seenAt > GATEWAY_REMEMBERED_MS) this.seenAt.delete(name);
    }
  }
}
