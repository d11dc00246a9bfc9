/**
 * The controllers that a process knows, the links to those that it follows, and which of them it
 * asks. Controllers follow all others; gateways follow few, and replace those that are not fresh.
 */
import type { Environment } from '../seams/environment.js';
import {
  chooseControllers,
  FollowState,
  rankControllers,
  type KnownController,
} from './controller-choice.js';
import type { DirectoryLink } from './directory-link.js';
import {
  PENDING_AFTER_DIAL_MS,
  FOLLOWED_FRESHNESS_MS,
  LINK_CHECK_INTERVAL_MS,
  FRESHNESS_MS,
} from './directory-timing.js';

/** Most controllers that are followed at once. */
const MAXIMUM_LINKS = 12;

/** Who follows, and how. */
export interface FollowedControllersOptions {
  readonly environment: Environment;
  readonly ownName: string;
  readonly ownZone: string;
  /** This process's own address for internal messages, which it does not follow. */
  readonly ownAddress: string | undefined;
  /** Controllers that are followed at once; undefined: all. */
  readonly followed: number | undefined;
  /** Opens the link to the controller at an address, `host:port`. */
  readonly createLink: (address: string) => DirectoryLink;
}

/** See the module comment. */
export class FollowedControllers {
  /** Zones of controllers by their address, as they were last named. */
  private readonly zones = new Map<string, string>();
  private readonly links = new Map<string, DirectoryLink>();
  private seeds: readonly string[] = [];
  /** As this process's own log has them; empty at a gateway, which goes by what controllers say. */
  private members: readonly string[] = [];
  private readonly stopped = new AbortController();

  constructor(private readonly options: FollowedControllersOptions) {}

  /** Replaces the addresses to begin with, `host:port` each. */
  setSeeds(addresses: readonly string[]): void {
    this.seeds = addresses;
    this.adjustLinks();
  }

  /** Replaces the known members of the group, as this controller's own log has them. */
  setMembers(addresses: readonly string[]): void {
    this.members = addresses;
    this.adjustLinks();
  }

  /** A controller has named the members of its group. */
  recordGroupMembers(controllers: readonly KnownController[]): void {
    for (const { address, zone } of controllers) {
      if (zone !== '') this.zones.set(address, zone);
    }
    this.adjustLinks();
  }

  /** Zone of the controller at an address; empty while it is not known. */
  zoneOf(address: string): string {
    return this.zones.get(address) ?? '';
  }

  /** Links to controllers that are being followed now. */
  get openLinks(): readonly DirectoryLink[] {
    return [...this.links.values()].filter(({ status }) => status !== undefined);
  }

  /** Whether a controller that knew of a quorum lately is being followed. */
  get isFresh(): boolean {
    const now = this.now();
    return this.openLinks.some((link) => this.ageOf(link, now) < FRESHNESS_MS);
  }

  /** Controllers that are known, followed or not. The union: the list of one that is cut off may be old. */
  get known(): readonly KnownController[] {
    const known = new Map<string, KnownController>();
    for (const address of [...this.members, ...this.seeds]) {
      known.set(address, { address, zone: '' });
    }
    for (const { controllers } of this.links.values()) {
      for (const controller of controllers) {
        const zone = controller.zone === '' ? known.get(controller.address)?.zone : controller.zone;
        known.set(controller.address, { address: controller.address, zone: zone ?? '' });
      }
    }
    return [...known.values()];
  }

  /** Open links, those to controllers that tell fresh news in front, nearer ones first. */
  get linksByPreference(): readonly DirectoryLink[] {
    const { ownName, ownZone } = this.options;
    const links = rankControllers(this.known, { ownName, ownZone })
      .flatMap(({ address }) => this.links.get(address) ?? [])
      .filter(({ status }) => status !== undefined);
    const isFresh = ({ address }: DirectoryLink): boolean =>
      this.followStateOf(address) === FollowState.Fresh;
    return [...links.filter(isFresh), ...links.filter((link) => !isFresh(link))];
  }

  /** Replaces followed controllers that are not fresh any more, until stopped. */
  async maintainLinks(): Promise<void> {
    const { clock } = this.options.environment;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      this.adjustLinks();
      await clock.sleep(LINK_CHECK_INTERVAL_MS, signal).catch(() => undefined);
    }
  }

  async stop(): Promise<void> {
    this.stopped.abort(new Error('stopped'));
    const links = [...this.links.values()];
    this.links.clear();
    await Promise.all(links.map((link) => link.stop()));
  }

  private adjustLinks(): void {
    if (this.stopped.signal.aborted) return;
    const targets = new Set(this.targetAddresses());
    for (const [address, link] of this.links) {
      if (targets.has(address)) continue;
      this.links.delete(address);
      void link.stop();
    }
    for (const address of [...targets].slice(0, MAXIMUM_LINKS)) {
      if (this.links.has(address)) continue;
      this.links.set(address, this.options.createLink(address));
    }
  }

  private targetAddresses(): readonly string[] {
    const { ownAddress, followed, ownName, ownZone } = this.options;
    const known = this.known.filter(({ address }) => address !== ownAddress);
    if (followed === undefined) return known.map(({ address }) => address);
    const options = { ownName, ownZone, count: followed };
    return chooseControllers(known, options, (address) => this.followStateOf(address));
  }

  private followStateOf(address: string): FollowState {
    const link = this.links.get(address);
    if (link === undefined) return FollowState.Unusable;
    const now = this.now();
    const isFresh = this.ageOf(link, now) < FOLLOWED_FRESHNESS_MS && link.status?.stopping !== true;
    if (isFresh) return FollowState.Fresh;
    return now - link.startedAt < PENDING_AFTER_DIAL_MS
      ? FollowState.Pending
      : FollowState.Unusable;
  }

  /** Age of what the controller knows; Infinity while it is not followed. Milliseconds. */
  private ageOf({ status }: DirectoryLink, now: number): number {
    return status === undefined ? Infinity : now - status.receivedAt + status.ageMs;
  }

  private now(): number {
    return this.options.environment.clock.now();
  }
}
