/**
 * Follows several controllers at once and merges their updates, so that the loss or silence of one
 * controller delays nothing. Controllers follow all other controllers; gateways follow only a few,
 * because a controller's traffic grows with the number of its subscribers.
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
import { DirectoryLink, type DirectoryLinkParts, type DirectoryUpdate } from './directory-link.js';
import {
  NO_DOCUMENT,
  SubscriberKind,
  type DocumentMessage,
  type ReplicaIncarnationMessage,
  type ReplicaMessage,
  type VersionConfirmedMessage,
} from './directory-messages.js';
import { FollowedControllers } from './followed-controllers.js';
import { crashEvidenceMessage, quarantineEntry } from './quarantine-messages.js';
import { replicaEntry } from './replica-messages.js';
import { RESTORED_ACCEPTED_MS } from './directory-timing.js';
import { AnnouncedGateways } from './announced-gateways.js';
import { chooseLeaves, type KnownGateway } from './leaf-gateway.js';
import { GatewayCount } from './gateway-count.js';
import type { ReplicaDirectory } from './replica-directory.js';

/** A route document and the controller that sent it. */
export interface ReceivedDocument extends DocumentMessage {
  /** `host:port` of the controller. */
  readonly controller: string;
}

/** Dependencies and settings of a {@link DirectoryClient}. */
export interface DirectoryClientOptions {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly subscriberKind: SubscriberKind;
  readonly zone: string;
  readonly directory: ReplicaDirectory;
  readonly unusable: UnusableEntries;
  readonly logger: Logger;
  readonly traffic: ZoneTraffic;
  /** This process's own address for internal messages; the client never follows it. */
  readonly ownAddress?: string;
  /** See {@link DirectoryLinkParts.relay}. */
  readonly relay?: () => Promise<boolean>;
  /** Number of controllers to follow at once; all of them when absent. */
  readonly followed?: number;
  /** `host:port` at which this gateway accepts gathers from other gateways; absent if it accepts none. */
  readonly gatherAddress?: string;
}

/** Call {@link DirectoryClient.setSeeds} or {@link DirectoryClient.setMembers} to start following. */
export class DirectoryClient {
  /** Emits each route document with a higher version than all earlier ones. */
  readonly documents: Stream<ReceivedDocument>;
  /** Emits the zone evacuations received from controllers, in order of arrival. */
  readonly evacuations: Stream<ZoneEvacuation>;
  /** Emits each received quarantine entry. */
  readonly quarantine: Stream<QuarantineEntry>;
  /** Emits whenever another controller becomes available for requests. */
  readonly followed: Stream<void>;
  /** Emits each response to {@link DirectoryClient.requestVersionConfirmation}. */
  readonly confirmations: Stream<VersionConfirmedMessage>;
  private readonly emitQuarantine: (entry: QuarantineEntry) => void;
  private readonly emitFollowed: () => void;
  private readonly emitConfirmation: (confirmed: VersionConfirmedMessage) => void;
  private readonly emitEvacuation: (evacuation: ZoneEvacuation) => void;
  private readonly emitDocument: (document: ReceivedDocument) => void;
  private readonly controllers: FollowedControllers;
  private documentVersion = NO_DOCUMENT;
  private readonly announcedGateways: AnnouncedGateways;
  private readonly gatewayCount: GatewayCount;
  private readonly startedAt: number;

  constructor(private readonly options: DirectoryClientOptions) {
    [this.emitDocument, this.documents] = createAdapter<ReceivedDocument>();
    [this.emitEvacuation, this.evacuations] = createAdapter<ZoneEvacuation>();
    [this.emitQuarantine, this.quarantine] = createAdapter<QuarantineEntry>();
    [this.emitFollowed, this.followed] = createAdapter<void>();
    [this.emitConfirmation, this.confirmations] = createAdapter<VersionConfirmedMessage>();
    const { environment, identity, zone, ownAddress, followed } = options;
    this.startedAt = environment.clock.now();
    this.announcedGateways = this.createAnnouncedGateways();
    this.gatewayCount = new GatewayCount(environment.clock, () =>
      this.controllers.openLinks.flatMap(({ status }) => status?.gateways ?? []),
    );
    const linkParts = this.createLinkParts();
    this.controllers = new FollowedControllers({
      environment,
      ownName: identity.name,
      ownZone: zone,
      ownAddress,
      followed,
      createLink: (address) => new DirectoryLink(linkParts, address),
    });
    if (followed !== undefined) void this.controllers.maintainLinks();
  }

  /** Replaces the seed addresses, `host:port` each. */
  setSeeds(addresses: readonly string[]): void {
    this.controllers.setSeeds(addresses);
  }

  /** Replaces the group members recorded in this controller's own log, `host:port` each. */
  setMembers(addresses: readonly string[]): void {
    this.controllers.setMembers(addresses);
  }

  /** Whether at least one followed controller has recently confirmed a quorum. */
  get isFresh(): boolean {
    return this.controllers.isFresh;
  }

  /** Number of controllers that are currently followed. */
  get openLinks(): number {
    return this.controllers.openLinks.length;
  }

  /** Number of gateways in the fleet; undefined before a controller has reported it. */
  get gateways(): number | undefined {
    return this.gatewayCount.current;
  }

  /**
   * Gateways listed by any followed controller, see `GatewayMessage`, and those listed by one whose
   * stream ended lately. A new array is created on every change.
   */
  get knownGateways(): readonly KnownGateway[] {
    return this.announcedGateways.current;
  }

  /** `host:port` of every known controller, followed or not. */
  get controllerAddresses(): readonly string[] {
    return this.controllers.known.map(({ address }) => address);
  }

  /**
   * Sends crash evidence to one followed controller that is not stopping, trying the freshest first;
   * returns false if no controller could be sent the evidence.
   */
  reportCrashEvidence(change: QuarantineChange): boolean {
    const links = this.controllers.openLinks
      .filter(({ status }) => status?.stopping !== true)
      .sort((left, right) => (left.status?.ageMs ?? 0) - (right.status?.ageMs ?? 0));
    const message = crashEvidenceMessage(change);
    return links.some((link) => link.send(message));
  }

  /**
   * Asks a controller which version of the route document is in force. The preferred controller is
   * asked first; each of the `unanswered` earlier requests moves on to the next controller. Returns
   * false while no controller is followed.
   */
  requestVersionConfirmation(number: number, unanswered: number): boolean {
    const links = this.controllers.linksByPreference;
    return links[unanswered % links.length]?.send({ kind: 'confirmVersion', number }) === true;
  }

  async stop(): Promise<void> {
    await this.controllers.stop();
  }

  private createLinkParts(): DirectoryLinkParts {
    const { environment, identity, subscriberKind, zone, traffic } = this.options;
    const { gatherAddress = '', relay } = this.options;
    return {
      environment,
      identity,
      subscriberKind,
      zone,
      traffic,
      zoneOf: (address) => this.controllers.zoneOf(address),
      gatherAddress,
      relay,
      onUpdate: (message, link) => this.handleUpdate(message, link),
      onGateways: (gone) => this.announcedGateways.update(gone),
      onControllers: (link) => this.controllers.recordGroupMembers(link.controllers),
      documentVersion: () => this.documentVersion,
      onFirstStatus: () => this.handleFirstStatus(),
      onUnreadable: ({ address: controller }) => this.countUnreadable(controller),
      onState: (link, isOpen) => this.handleLinkState(link, isOpen),
    };
  }

  private handleUpdate(message: DirectoryUpdate, link: DirectoryLink): void {
    const { directory } = this.options;
    switch (message.kind) {
      case 'replica':
      case 'replicaLife':
        this.handleReplica(message, link);
        return;
      case 'heard':
        directory.recordHeartbeat(message.replicaId);
        return;
      case 'document':
        this.handleDocument({ ...message, controller: link.address });
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

  private handleReplica(
    message: ReplicaMessage | ReplicaIncarnationMessage,
    link: DirectoryLink,
  ): void {
    const entry = replicaEntry(message);
    if (entry === undefined) {
      const fields = { replicaId: message.replicaId, controller: link.address };
      this.options.unusable.note(EntrySource.DirectoryStream, UnusableReason.UnknownState, fields);
      return;
    }
    const isAccepted = entry.restored !== true || this.acceptsRestored;
    if (isAccepted) this.options.directory.report(entry);
  }

  /** Whether this process started so recently that it may lack replicas already known to the fleet. */
  private get acceptsRestored(): boolean {
    return this.options.environment.clock.now() - this.startedAt < RESTORED_ACCEPTED_MS;
  }

  /** Ignores documents that are not newer than the current one, whichever controller sends them. */
  private handleDocument(document: ReceivedDocument): void {
    if (document.version <= this.documentVersion) return;
    this.documentVersion = document.version;
    this.emitDocument(document);
  }

  /**
   * To a gateway, controllers announce leaf gateways. Those that it retains or that a controller with
   * few gateways announces may be more than the chosen ones.
   */
  private createAnnouncedGateways(): AnnouncedGateways {
    const { environment, subscriberKind } = this.options;
    return new AnnouncedGateways({
      clock: environment.clock,
      announcements: () => this.controllers.openLinks.map(({ gateways }) => gateways),
      select: subscriberKind === SubscriberKind.Gateway ? chooseLeaves : (gateways) => gateways,
    });
  }

  private countUnreadable(controller: string): void {
    const { unusable } = this.options;
    unusable.note(EntrySource.DirectoryStream, UnusableReason.Unreadable, { controller });
  }

  private handleFirstStatus(): void {
    this.gatewayCount.update();
    this.emitFollowed();
  }

  private handleLinkState(link: DirectoryLink, isOpen: boolean): void {
    const { logger } = this.options;
    const fields = { controller: link.address };
    if (!isOpen) this.announcedGateways.handleStreamEnd(link.gateways);
    this.gatewayCount.update();
    if (isOpen) this.controllers.handleOpened();
    if (isOpen) logger.info('controller regained', fields);
    else logger.warn('controller lost', fields);
  }
}
