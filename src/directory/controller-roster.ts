/**
 * The controllers of the group as one of them knows them: their zones, which of them are
 * connected, and which of them a gateway gets its documents from.
 */
import { rankControllers } from './controller-choice.js';
import type { DirectoryController } from './directory-session.js';
import type { KnownGateway } from './leaf-gateway.js';

/** A member of the controllers' group. */
export interface DirectoryMember {
  readonly memberId: string;
  /** `host:port` for internal messages. */
  readonly address: string;
}

/** Where the roster looks. */
export interface ControllerRosterSources {
  readonly ownName: string;
  readonly ownZone: string;
  readonly members: () => readonly DirectoryMember[];
  /** Controllers whose streams to this one are open. */
  readonly connected: () => readonly KnownGateway[];
}

/** See the module comment. */
export class ControllerRoster {
  /** By name, also of those whose stream is lost at the moment. */
  private readonly zones = new Map<string, string>();

  constructor(private readonly sources: ControllerRosterSources) {
    this.zones.set(sources.ownName, sources.ownZone);
  }

  /** The group's members, with the zones of those that follow this controller or did. */
  all(): readonly DirectoryController[] {
    return this.sources.members().map(({ memberId, address }) => ({
      memberId,
      address,
      zone: this.zones.get(memberId) ?? '',
    }));
  }

  /** A controller has connected. Zones of those that are neither members nor connected are forgotten. */
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

  /** Whether the gateway follows this controller before all others that are connected. */
  isPreferredFor({ name, zone }: KnownGateway): boolean {
    const { ownName, connected } = this.sources;
    const usable = new Set([ownName]);
    for (const controller of connected()) usable.add(controller.name);
    const candidates = this.all().filter(({ memberId }) => usable.has(memberId));
    const [first] = rankControllers(candidates, { ownName: name, ownZone: zone });
    return first?.memberId === ownName;
  }

  /** Names of those that are to send documents to gateways of the zone: its own, else this one. */
  responsibleFor(zone: string): readonly string[] {
    const inZone = this.all().filter((controller) => controller.zone === zone);
    return inZone.length === 0 ? [this.sources.ownName] : inZone.map(({ memberId }) => memberId);
  }
}
