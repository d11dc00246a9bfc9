/** One subscriber's stream at a controller, and what is new to it. */
import type { ZoneEvacuation } from '../evacuations/zone-evacuation.js';
import { QuarantineState } from '../quarantine/quarantine-entry.js';
import type { QuarantineRegister } from '../quarantine/quarantine-register.js';
import type { StoredRouteDocument } from '../routes/route-document-register.js';
import type { VersionHistory } from '../routes/version-history.js';
import type { Clock } from '../seams/clock.js';
import { NO_DOCUMENT, SubscriberKind, type DirectoryMessage } from './directory-messages.js';
import { quarantineMessage } from './quarantine-messages.js';
import { replicaMessage } from './replica-messages.js';
import { FALLBACK_DOCUMENT_DELAY_MS, CROSS_ZONE_DOCUMENT_INTERVAL_MS } from './directory-timing.js';
import type { KnownGateway } from './leaf-gateway.js';
import type { ReplicaDirectory } from './replica-directory.js';

/** A controller as subscribers are told of it. */
export interface DirectoryController {
  readonly memberId: string;
  readonly address: string;
  /** Empty while it is not known. */
  readonly zone: string;
}

/** What subscribers are told. */
export interface DirectorySessionSources {
  readonly clock: Clock;
  readonly directory: ReplicaDirectory;
  readonly document: () => StoredRouteDocument | undefined;
  /** Versions of the route document, as they became known here. */
  readonly routeHistory: VersionHistory;
  /** Orders about zones; gateways are told of them. */
  readonly evacuations: () => Iterable<ZoneEvacuation>;
  /** Requests under which replicas ended; gateways are told of those that are suspected. */
  readonly quarantine: Pick<QuarantineRegister, 'position' | 'changedAfter'>;
  /** Whether a gateway follows this controller before all others that are connected. */
  readonly isPreferredFor: (gateway: KnownGateway) => boolean;
  readonly controllers: () => readonly DirectoryController[];
  /** See `StatusMessage.ageMs`. */
  readonly ageMs: () => number;
  readonly ownZone: string;
  /** Gateways that a subscriber of the kind is told of; see `GatewayMessage`. */
  readonly gatewaysFor: (kind: SubscriberKind) => Iterable<KnownGateway>;
}

/** See the module comment. */
export class DirectorySession {
  /** Told up to here. */
  position = 0;
  /** The subscriber has taken in everything up to here. */
  confirmedPosition = -1;
  /** All gateways that follow the subscriber, a controller, have taken in everything up to here. */
  relayedPosition = -1;
  /** Heartbeats heard since the last frame; only controllers are told of them. */
  readonly pendingHeartbeats = new Set<string>();
  /** Version of the route document that the subscriber last said it has in force. */
  confirmedDocumentVersion = NO_DOCUMENT;
  private documentVersion = NO_DOCUMENT;
  /** When the last one was sent. Clock reading. */
  private documentSentAt = -Infinity;
  private controllersFingerprint = '';
  /** Of the quarantine, up to which the subscriber was told. */
  private quarantinePosition = 0;

  /** By zone, the revision of the last order that was told. */
  private readonly sentEvacuations = new Map<string, number>();
  private readonly sentGateways = new Map<string, KnownGateway>();

  constructor(
    readonly kind: SubscriberKind,
    /** The subscriber itself. */
    readonly subscriber: KnownGateway,
    /** Whether its frames are compressed: it is in another zone and understands that. */
    readonly isCompressed = false,
  ) {}

  get name(): string {
    return this.subscriber.name;
  }

  /** Everything that the subscriber was not told yet. */
  takeUpdates(sources: DirectorySessionSources): DirectoryMessage[] {
    const messages: DirectoryMessage[] = [];
    // Before the routes: a gateway without routes sends nothing yet.
    this.addEvacuations(sources, messages);
    this.addQuarantine(sources, messages);
    this.addDocument(sources, messages);
    this.addControllers(sources, messages);
    this.addGateways(sources, messages);
    for (const entry of sources.directory.changedAfter(this.position)) {
      messages.push(replicaMessage(entry));
    }
    for (const replicaId of this.pendingHeartbeats) messages.push({ kind: 'heard', replicaId });
    this.pendingHeartbeats.clear();
    this.position = sources.directory.position;
    return messages;
  }

  /**
   * Until the subscriber is sent a document that it lacks; Infinity when it lacks none.
   * Milliseconds.
   *
   * A gateway gets documents from the controller that it follows before all others, one of its
   * zone if there is one. Another one sends it a document only when it does not get it there.
   * The time counts from the oldest version that it lacks: if a newer one began it again, changes
   * that follow each other closely would never reach a gateway whose first controller is lost.
   */
  documentDueInMs(sources: DirectorySessionSources): number {
    const { clock, ownZone, routeHistory, isPreferredFor: isPreferredFor } = sources;
    // Controllers have it from the replicated log.
    if (this.kind !== SubscriberKind.Gateway) return Infinity;
    const lackingSince = routeHistory.supersededAt(this.heldVersion);
    if (lackingSince === undefined) return Infinity;
    const isInOtherZone = this.subscriber.zone !== ownZone;
    if (!isInOtherZone || this.confirmedDocumentVersion === NO_DOCUMENT) return 0;
    const dueAt = isPreferredFor(this.subscriber)
      ? this.documentSentAt + CROSS_ZONE_DOCUMENT_INTERVAL_MS
      : lackingSince + FALLBACK_DOCUMENT_DELAY_MS;
    return Math.max(0, dueAt - clock.now());
  }

  private addEvacuations(sources: DirectorySessionSources, messages: DirectoryMessage[]): void {
    if (this.kind !== SubscriberKind.Gateway) return;
    for (const evacuation of sources.evacuations()) {
      const { zone, revision } = evacuation;
      if (this.sentEvacuations.get(zone) === revision) continue;
      this.sentEvacuations.set(zone, revision);
      messages.push({ kind: 'evacuation', ...evacuation });
    }
  }

  private addQuarantine(
    { quarantine }: DirectorySessionSources,
    messages: DirectoryMessage[],
  ): void {
    if (this.kind !== SubscriberKind.Gateway) return;
    for (const entry of quarantine.changedAfter(this.quarantinePosition)) {
      const isSent = entry.state !== QuarantineState.Observed;
      if (isSent) messages.push(quarantineMessage(entry));
    }
    this.quarantinePosition = quarantine.position;
  }

  private addDocument(sources: DirectorySessionSources, messages: DirectoryMessage[]): void {
    const document = sources.document();
    if (document === undefined || document.version <= this.heldVersion) return;
    if (this.documentDueInMs(sources) > 0) return;
    this.documentVersion = document.version;
    this.documentSentAt = sources.clock.now();
    messages.push({ kind: 'document', ...document });
  }

  /** Version of the route document that the subscriber has, or is about to have from here. */
  private get heldVersion(): number {
    return Math.max(this.documentVersion, this.confirmedDocumentVersion);
  }

  /** What changed in the list since it was told. */
  private addGateways(sources: DirectorySessionSources, messages: DirectoryMessage[]): void {
    const gone = new Map(this.sentGateways);
    for (const gateway of sources.gatewaysFor(this.kind)) {
      gone.delete(gateway.name);
      if (this.sentGateways.get(gateway.name)?.address === gateway.address) continue;
      this.sentGateways.set(gateway.name, gateway);
      messages.push({ kind: 'gateway', ...gateway, isGone: false });
    }
    for (const gateway of gone.values()) {
      this.sentGateways.delete(gateway.name);
      messages.push({ kind: 'gateway', ...gateway, isGone: true });
    }
  }

  private addControllers(sources: DirectorySessionSources, messages: DirectoryMessage[]): void {
    const controllers = sources.controllers();
    const fingerprint = controllers.map(({ address, zone }) => `${address} ${zone}`).join(' ');
    if (fingerprint === this.controllersFingerprint) return;
    this.controllersFingerprint = fingerprint;
    for (const { memberId, address, zone } of controllers) {
      messages.push({ kind: 'controller', memberId, address, zone });
    }
  }
}
