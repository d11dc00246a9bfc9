/**
 * The controllers known to a process, the links to those that it follows, and the order in which it
 * sends them requests. Controllers follow all other controllers; gateways follow a few and replace
 * those that are not fresh.
 */
import type { Environment } from '../seams/environment.js';
import { sleepUntilTick } from '../seams/sleep-until-tick.js';
import {
  chooseControllers,
  FollowState,
  rankControllers,
  type KnownController,
} from './controller-choice.js';
import type { DirectoryLink } from './directory-link.js';
import {
  PENDING_MS,
  FOLLOWED_FRESHNESS_MS,
  LINK_CHECK_INTERVAL_MS,
  FRESHNESS_MS,
} from './directory-timing.js';

/** Most controllers followed at once. */
const MAXIMUM_LINKS = 12;

/** The process that follows, and how it opens links. */
export interface FollowedControllersOptions {
  readonly environment: Environment;
  readonly ownName: string;
  readonly ownZone: string;
  /** This process's own address for internal messages, which is never followed. */
  readonly ownAddress: string | undefined;
  /** Number of controllers to follow at once; all of them when undefined. */
  readonly followed: number | undefined;
  /** Opens the link to the controller at an address, `host:port`. */
  readonly createLink: (address: string) => DirectoryLink;
}

/** Opens and closes links whenever the known controllers change, until stopped. */
export class FollowedControllers {
  /** Last known zones of controllers by address. */
  private readonly zones = new Map<string, string>();
  private readonly links = new Map<string, DirectoryLink>();
  /** List of a link that was dropped, until a link that is open has sent one. */
  private droppedList: readonly KnownController[] = [];
  private seeds: readonly string[] = [];
  /** Members in this process's own log; empty in a gateway, which uses the lists sent by controllers. */
  private members: readonly string[] = [];
  private readonly stopped = new AbortController();

  constructor(private readonly options: FollowedControllersOptions) {}

  /** Replaces the seed addresses, `host:port` each. */
  setSeeds(addresses: readonly string[]): void {
    this.seeds = addresses;
    this.adjustLinks();
  }

  /** Replaces the group members recorded in this controller's own log, `host:port` each. */
  setMembers(addresses: readonly string[]): void {
    this.members = addresses;
    this.adjustLinks();
  }

  /** Records the group members that a controller has sent. */
  recordGroupMembers(controllers: readonly KnownController[]): void {
    this.droppedList = [];
    for (const { address, zone } of controllers) {
      if (zone !== '') this.zones.set(address, zone);
    }
    this.adjustLinks();
  }

  /** Zone of the controller at an address; empty while unknown. */
  zoneOf(address: string): string {
    return this.zones.get(address) ?? '';
  }

  /** Links to controllers that are currently followed. */
  get openLinks(): readonly DirectoryLink[] {
    return [...this.links.values()].filter(({ status }) => status !== undefined);
  }

  /** Whether at least one followed controller has recently confirmed a quorum. */
  get isFresh(): boolean {
    const now = this.now();
    return this.openLinks.some((link) => this.ageOf(link, now) < FRESHNESS_MS);
  }

  /**
   * All known controllers, followed or not. This is the union of all lists, because the list of a
   * partitioned controller may be out of date. Zones are those last heard, so that the order of
   * preference does not change with the links that happen to be open.
   */
  get known(): readonly KnownController[] {
    const known = new Map<string, KnownController>();
    const add = (address: string): void =>
      void known.set(address, { address, zone: this.zoneOf(address) });
    for (const address of [...this.members, ...this.seeds]) add(address);
    const lists = [...this.links.values()].map(({ controllers }) => controllers);
    for (const { address } of [...this.droppedList, ...lists.flat()]) add(address);
    return [...known.values()];
  }

  /** Open links, fresh controllers before others, and within each group in order of preference. */
  get linksByPreference(): readonly DirectoryLink[] {
    const { ownName, ownZone } = this.options;
    const links = rankControllers(this.known, { ownName, ownZone })
      .flatMap(({ address }) => this.links.get(address) ?? [])
      .filter(({ status }) => status !== undefined);
    const isFresh = ({ address }: DirectoryLink): boolean =>
      this.followStateOf(address) === FollowState.Fresh;
    return [...links.filter(isFresh), ...links.filter((link) => !isFresh(link))];
  }

  /** Drops surplus links at once when one opens: others that are being dialled are not needed then. */
  handleOpened(): void {
    this.adjustLinks();
  }

  /** Replaces followed controllers that are no longer fresh, until stopped. */
  async maintainLinks(): Promise<void> {
    const { clock } = this.options.environment;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      this.adjustLinks();
      await sleepUntilTick(clock, LINK_CHECK_INTERVAL_MS, signal).catch(() => undefined);
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
      if (link.controllers.length > 0) this.droppedList = link.controllers;
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
    if (link === undefined) return FollowState.Pending;
    const now = this.now();
    if (link.isUnreachable || link.status?.stopping === true) return FollowState.Unusable;
    if (this.ageOf(link, now) < FOLLOWED_FRESHNESS_MS) return FollowState.Fresh;
    const pendingSince = link.openedAt ?? link.startedAt;
    return now - pendingSince < PENDING_MS ? FollowState.Pending : FollowState.Unusable;
  }

  /** Age of the controller's information; Infinity while it is not followed. Milliseconds. */
  private ageOf({ status }: DirectoryLink, now: number): number {
    return status === undefined ? Infinity : now - status.receivedAt + status.ageMs;
  }

  private now(): number {
    return this.options.environment.clock.now();
  }
}
