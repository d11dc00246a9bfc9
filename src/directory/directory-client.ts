/**
 * Follows several controllers at once and joins what they say, so that the loss
 * or silence of one of them delays nothing. Controllers follow all others;
 * gateways follow few, as what controllers send grows with their followers.
 */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import type { ZoneEvacuation } from '../evacuations/zone-evacuation.js';
import type { QuarantineEntry } from '../quarantine/quarantine-entry.js';
import type { QuarantineChange } from '../quarantine/quarantine-register.js';
import type { Logger } from '../observability/logger.js';
import {
  EntrySource,
  UnusableReason,
  type UnusableEntries,
} from '../observability/unusable-entries.js';
import type { ZoneTraffic } from '../observability/zone-traffic.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import type { Environment } from '../seams/environment.js';
import {
  chooseControllers,
  FollowState,
  rankControllers,
  type KnownController,
} from './controller-choice.js';
import { DirectoryLink, type DirectoryLinkParts, type LinkNews } from './directory-link.js';
import {
  NO_DOCUMENT,
  type DocumentMessage,
  type ReplicaLifeMessage,
  type ReplicaMessage,
  type SubscriberKind,
  type VersionConfirmedMessage,
} from './directory-messages.js';
import { crashEvidenceMessage, quarantineEntry } from './quarantine-messages.js';
import { replicaEntry } from './replica-messages.js';
import {
  DIALLED_MS,
  FOLLOWED_FRESH_MS,
  FOLLOW_INTERVAL_MS,
  FRESH_MS,
  TAKES_RESTORED_MS,
} from './directory-timing.js';
import type { KnownGateway } from './leaf-gateway.js';
import type { ReplicaDirectory } from './replica-directory.js';

/** A route document, and who sent it. */
export interface ReceivedDocument extends DocumentMessage {
  /** `host:port` of the controller. */
  readonly controller: string;
}

/** Most controllers that are followed at once. */
const MAXIMUM_LINKS = 12;

/** What a client is started with. */
export interface DirectoryClientOptions {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly subscriberKind: SubscriberKind;
  readonly zone: string;
  readonly directory: ReplicaDirectory;
  readonly unusable: UnusableEntries;
  readonly logger: Logger;
  readonly traffic: ZoneTraffic;
  /** This process's own address for internal messages, which it does not follow. */
  readonly ownAddress?: string;
  /** See `DirectoryLinkParts.relay`. */
  readonly relay?: () => Promise<boolean>;
  /** Controllers that are followed at once; absent: all. */
  readonly followed?: number;
  /** Where it takes gathers of other gateways, `host:port`; absent when it takes none. */
  readonly gatherAddress?: string;
}

/** See the module comment. */
export class DirectoryClient {
  /** Emits each route document that is newer than all before it. */
  readonly documents: Stream<ReceivedDocument>;
  /** Emits each order about a zone that a controller tells of, in the order in which they come. */
  readonly evacuations: Stream<ZoneEvacuation>;
  /** Emits each word about a request under which replicas ended. */
  readonly quarantine: Stream<QuarantineEntry>;
  /** Emits whenever one more controller can be asked. */
  readonly followed: Stream<void>;
  /** Emits each answer to {@link DirectoryClient.askVersion}. */
  readonly confirmations: Stream<VersionConfirmedMessage>;
  private readonly emitQuarantine: (entry: QuarantineEntry) => void;
  private readonly emitFollowed: () => void;
  private readonly emitConfirmation: (confirmed: VersionConfirmedMessage) => void;
  private readonly emitEvacuation: (evacuation: ZoneEvacuation) => void;
  private readonly emitDocument: (document: ReceivedDocument) => void;
  /** Zones of controllers by their address, as they were last named. */
  private readonly zones = new Map<string, string>();
  private readonly links = new Map<string, DirectoryLink>();
  private seeds: readonly string[] = [];
  /** As this process's own log has them; empty at a gateway, which goes by what controllers say. */
  private members: readonly string[] = [];
  private documentVersion = NO_DOCUMENT;
  private joinedGateways: readonly KnownGateway[] = [];
  private readonly startedAt: number;
  private readonly linkParts: DirectoryLinkParts;
  private readonly stopped = new AbortController();

  constructor(private readonly options: DirectoryClientOptions) {
    [this.emitDocument, this.documents] = createAdapter<ReceivedDocument>();
    [this.emitEvacuation, this.evacuations] = createAdapter<ZoneEvacuation>();
    [this.emitQuarantine, this.quarantine] = createAdapter<QuarantineEntry>();
    [this.emitFollowed, this.followed] = createAdapter<void>();
    [this.emitConfirmation, this.confirmations] = createAdapter<VersionConfirmedMessage>();
    const { environment, identity, subscriberKind, zone, traffic } = options;
    const { gatherAddress = '', relay } = options;
    this.startedAt = environment.clock.now();
    this.linkParts = {
      environment,
      identity,
      subscriberKind,
      zone,
      traffic,
      zoneOf: (address) => this.zones.get(address) ?? '',
      gatherAddress,
      relay,
      take: (message, link) => this.take(message, link),
      onGateways: () => this.joinGateways(),
      onControllers: (link) => {
        this.noteZones(link.controllers);
        this.adjustLinks();
      },
      documentVersion: () => this.documentVersion,
      onFollowed: () => this.emitFollowed(),
      onUnreadable: ({ address: controller }) => this.noteUnreadable(controller),
      onState: (link, isOpen) => this.logState(link, isOpen),
    };
    if (options.followed !== undefined) void this.keepFollowing();
  }

  /** Replaces the addresses to begin with, `host:port` each. */
  useSeeds(addresses: readonly string[]): void {
    this.seeds = addresses;
    this.adjustLinks();
  }

  /** Replaces the known members of the group, as this controller's own log has them. */
  useMembers(addresses: readonly string[]): void {
    this.members = addresses;
    this.adjustLinks();
  }

  /** Whether a controller that knew of a quorum lately is being followed. */
  get isFresh(): boolean {
    const now = this.options.environment.clock.now();
    return [...this.links.values()].some(({ status }) => {
      if (status === undefined) return false;
      return now - status.receivedAt + status.ageMs < FRESH_MS;
    });
  }

  /** Controllers that are being followed now. */
  get openLinks(): number {
    return [...this.links.values()].filter(({ status }) => status !== undefined).length;
  }

  /** The most gateways that any controller has seen lately; undefined while none is followed. */
  get gateways(): number | undefined {
    const counts = [...this.links.values()].flatMap(({ status }) => status?.gateways ?? []);
    return counts.length === 0 ? undefined : Math.max(...counts);
  }

  /**
   * Gateways as any followed controller names them, see `GatewayMessage`; those
   * last named while none is followed. A new array whenever it changes.
   */
  get knownGateways(): readonly KnownGateway[] {
    return this.joinedGateways;
  }

  /** `host:port` of every controller that is known, followed or not. */
  get controllerAddresses(): readonly string[] {
    return this.knownControllers().map(({ address }) => address);
  }

  /** Tells one of the followed controllers, the freshest first; false while none is followed. */
  reportEvidence(change: QuarantineChange): boolean {
    const links = [...this.links.values()]
      .filter(({ status }) => status !== undefined && !status.stopping)
      .sort((left, right) => (left.status?.ageMs ?? 0) - (right.status?.ageMs ?? 0));
    const message = crashEvidenceMessage(change);
    return links.some((link) => link.send(message));
  }

  /**
   * Asks a controller which version of the route document is in force: the one that is followed
   * first, and with each of the `unanswered` asks before it another one. False while none is followed.
   */
  askVersion(number: number, unanswered: number): boolean {
    const links = this.linksToAsk();
    return links[unanswered % links.length]?.send({ kind: 'confirmVersion', number }) === true;
  }

  async stop(): Promise<void> {
    this.stopped.abort(new Error('stopped'));
    const links = [...this.links.values()];
    this.links.clear();
    await Promise.all(links.map((link) => link.stop()));
  }

  private take(message: LinkNews, link: DirectoryLink): void {
    const { directory } = this.options;
    switch (message.kind) {
      case 'replica':
      case 'replicaLife':
        this.takeReplica(message, link);
        return;
      case 'heard':
        directory.noteHeard(message.replicaId);
        return;
      case 'document':
        this.takeDocument({ ...message, controller: link.address });
        return;
      case 'evacuation':
        this.emitEvacuation(message);
        return;
      case 'versionConfirmed':
        this.emitConfirmation(message);
        return;
      case 'quarantine':
        this.emitQuarantine(quarantineEntry(message));
        return;
      default:
    }
  }

  /** Open streams, those of controllers that tell fresh news in front, nearer ones first. */
  private linksToAsk(): readonly DirectoryLink[] {
    const { identity, zone } = this.options;
    const place = { ownName: identity.name, ownZone: zone };
    const links = rankControllers(this.knownControllers(), place)
      .flatMap(({ address }) => this.links.get(address) ?? [])
      .filter(({ status }) => status !== undefined);
    const isFresh = ({ address }: DirectoryLink): boolean =>
      this.followStateOf(address) === FollowState.Fresh;
    return [...links.filter(isFresh), ...links.filter((link) => !isFresh(link))];
  }

  private takeReplica(message: ReplicaMessage | ReplicaLifeMessage, link: DirectoryLink): void {
    const entry = replicaEntry(message);
    if (entry === undefined) {
      const fields = { replicaId: message.replicaId, controller: link.address };
      this.options.unusable.note(EntrySource.DirectoryStream, UnusableReason.UnknownState, fields);
      return;
    }
    const isUseful = entry.restored !== true || this.isYoung;
    if (isUseful) this.options.directory.report(entry);
  }

  /** Whether this process may still lack replicas that the fleet knew before it started. */
  private get isYoung(): boolean {
    return this.options.environment.clock.now() - this.startedAt < TAKES_RESTORED_MS;
  }

  /** An older document never replaces a newer one, whoever sends it. */
  private takeDocument(document: ReceivedDocument): void {
    if (document.version <= this.documentVersion) return;
    this.documentVersion = document.version;
    this.emitDocument(document);
  }

  private joinGateways(): void {
    const followed = [...this.links.values()].filter(({ status }) => status !== undefined);
    if (followed.length === 0) return;
    const joined = new Map<string, KnownGateway>();
    for (const { gateways } of followed) {
      for (const gateway of gateways.values()) joined.set(gateway.name, gateway);
    }
    this.joinedGateways = [...joined.values()];
  }

  private noteZones(controllers: readonly KnownController[]): void {
    for (const { address, zone } of controllers) {
      if (zone !== '') this.zones.set(address, zone);
    }
  }

  private adjustLinks(): void {
    if (this.stopped.signal.aborted) return;
    const wanted = new Set(this.wantedAddresses());
    for (const [address, link] of this.links) {
      if (wanted.has(address)) continue;
      this.links.delete(address);
      void link.stop();
    }
    for (const address of [...wanted].slice(0, MAXIMUM_LINKS)) {
      if (this.links.has(address)) continue;
      this.links.set(address, new DirectoryLink(this.linkParts, address));
    }
  }

  private wantedAddresses(): readonly string[] {
    const { ownAddress, followed, identity, zone } = this.options;
    const known = this.knownControllers().filter(({ address }) => address !== ownAddress);
    if (followed === undefined) return known.map(({ address }) => address);
    const options = { ownName: identity.name, ownZone: zone, count: followed };
    return chooseControllers(known, options, (address) => this.followStateOf(address));
  }

  /** The union: the list of a controller that is cut off may be old. */
  private knownControllers(): readonly KnownController[] {
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

  private followStateOf(address: string): FollowState {
    const link = this.links.get(address);
    if (link === undefined) return FollowState.Unusable;
    const now = this.options.environment.clock.now();
    const { status, startedAt } = link;
    const age = status === undefined ? Infinity : now - status.receivedAt + status.ageMs;
    if (age < FOLLOWED_FRESH_MS && status?.stopping !== true) return FollowState.Fresh;
    return now - startedAt < DIALLED_MS ? FollowState.Pending : FollowState.Unusable;
  }

  /** Replaces followed controllers that are not fresh any more. */
  private async keepFollowing(): Promise<void> {
    const { clock } = this.options.environment;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      this.adjustLinks();
      await clock.sleep(FOLLOW_INTERVAL_MS, signal).catch(() => undefined);
    }
  }

  private noteUnreadable(controller: string): void {
    const { unusable } = this.options;
    unusable.note(EntrySource.DirectoryStream, UnusableReason.Unreadable, { controller });
  }

  private logState(link: DirectoryLink, isOpen: boolean): void {
    const { logger } = this.options;
    const fields = { controller: link.address };
    if (!isOpen) this.joinGateways();
    if (isOpen) logger.info('controller regained', fields);
    else logger.warn('controller lost', fields);
  }
}
