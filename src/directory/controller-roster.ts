/**
 * One controller's view of its group: the zones of the controllers, which of them are connected,
 * and which of them sends route documents to each gateway.
 */
import { rankControllers } from './controller-choice.js';
import type { DirectoryController } from './directory-session.js';
import type { KnownGateway } from './leaf-gateway.js';

/** A member of the controller group. */
export interface DirectoryMember {
  readonly memberId: string;
  /** `host:port` for internal messages. */
  readonly address: string;
}

/** What the roster reads its members and connections from. */
export interface ControllerRosterSources {
  readonly ownName: string;
  readonly ownZone: string;
  readonly members: () => readonly DirectoryMember[];
  /** Controllers with an open stream to this controller. */
  readonly connected: () => readonly KnownGateway[];
}

export class ControllerRoster {
  /** Zones by controller name, including controllers whose stream is currently lost. */
  private readonly zones = new Map<string, string>();

  constructor(private readonly sources: ControllerRosterSources) {
    this.zones.set(sources.ownName, sources.ownZone);
  }

  /** Returns the members of the group, with the zones of those that follow this controller or have done so. */
  all(): readonly DirectoryController[] {
    return this.sources.members().map(({ memberId, address }) => ({
      memberId,
      address,
      zone: this.zones.get(memberId) ?? '',
    }));
  }

  /**
   * Records the zone of a controller that has connected. Drops the zones of controllers that are
   * neither members nor connected.
   */
  recordConnected(controller: string, zone: string): void {
    const { ownName, members, connected } = this.sources;
    this.zones.set(controller, zone);
    const known = new Set([ownName, controller]);
    for (const { memberId } of members()) known.add(memberId);
    for (const { name } of connected()) known.add(name);
    for (const name of this.zones.keys()) {
      if (!known.has(name)) this.zones.delete(name);
    }
  }

  /** Whether this controller is the gateway's most preferred one among the connected controllers. */
  isPreferredFor({ name, zone }: KnownGateway): boolean {
    const { ownName, connected } = this.sources;
    const usable = new Set([ownName]);
    for (const controller of connected()) usable.add(controller.name);
    const candidates = this.all().filter(({ memberId }) => usable.has(memberId));
    const [first] = rankControllers(candidates, { ownName: name, ownZone: zone });
    return first?.memberId === ownName;
  }

  /**
   * Returns the names of the controllers that send documents to gateways of the zone: the
   * controllers of that zone, or this controller if the zone has none.
   */
  responsibleFor(zone: string): readonly string[] {
    const inZone = this.all().filter((controller) => controller.zone === zone);
    return inZone.length === 0 ? [this.sources.ownName] : inZone.map(({ memberId }) => memberId);
  }
}
