/** State of one subscriber's directory stream at a controller: what was sent and what was confirmed. */
import type { ZoneEvacuation } from '../evacuations/zone-evacuation.js';
import { QuarantineState } from '../quarantine/quarantine-entry.js';
import type { QuarantineRegister } from '../quarantine/quarantine-register.js';
import type { StoredRouteDocument } from '../routes/route-document-register.js';
import type { VersionHistory } from '../routes/version-history.js';
import type { Clock } from '../seams/clock.js';
import { NO_DOCUMENT, SubscriberKind, type DirectoryMessage } from './directory-messages.js';
import { quarantineMessage } from './quarantine-messages.js';
import { replicaMessage } from './replica-messages.js';
import { DOCUMENT_INTERVAL_MS, FALLBACK_DOCUMENT_DELAY_MS } from './directory-timing.js';
import type { KnownGateway } from './leaf-gateway.js';
import type { ReplicaDirectory } from './replica-directory.js';

/** A controller as announced to subscribers. */
export interface DirectoryController {
  readonly memberId: string;
  readonly address: string;
  /** Empty while the zone is unknown. */
  readonly zone: string;
}

/** Data that is sent to subscribers. */
export interface DirectorySessionSources {
  readonly clock: Clock;
  readonly directory: ReplicaDirectory;
  readonly document: () => StoredRouteDocument | undefined;
  /** When each version of the route document became known to this controller. */
  readonly routeHistory: VersionHistory;
  /** Zone evacuations; sent to gateways. */
  readonly evacuations: () => Iterable<ZoneEvacuation>;
  /** Requests during which replicas ended; sent to gateways unless they are only observed. */
  readonly quarantine: Pick<QuarantineRegister, 'position' | 'changedAfter'>;
  /** Whether this controller is the gateway's most preferred one among the connected controllers. */
  readonly isPreferredFor: (gateway: KnownGateway) => boolean;
  readonly controllers: () => readonly DirectoryController[];
  /** See {@link StatusMessage.ageMs}. */
  readonly ageMs: () => number;
  /** Gateways that are announced to a subscriber of the kind; see `GatewayMessage`. */
  readonly gatewaysFor: (kind: SubscriberKind) => Iterable<KnownGateway>;
}

/** {@link DirectorySession.takeUpdates} returns each change once; a new stream needs a new session. */
export class DirectorySession {
  /** Directory position up to which changes were sent. */
  position = 0;
  /** Position up to which the subscriber has applied everything. */
  confirmedPosition = -1;
  /** Position up to which all gateways that follow the subscriber, a controller, have applied everything. */
  relayedPosition = -1;
  /** Ids of replicas with a heartbeat since the last frame; sent to controllers only. */
  readonly pendingHeartbeats = new Set<string>();
  /** Version of the route document that the subscriber last reported to be in force. */
  confirmedDocumentVersion = NO_DOCUMENT;
  private documentVersion = NO_DOCUMENT;
  /** When the last document was sent. Clock reading. */
  private documentSentAt = -Infinity;
  private controllersFingerprint = '';
  /** Position of the quarantine register up to which changes were sent. */
  private quarantinePosition = 0;

  /** Revision of the last evacuation that was sent, by zone. */
  private readonly sentEvacuations = new Map<string, number>();
  private readonly sentGateways = new Map<string, KnownGateway>();

  constructor(
    readonly kind: SubscriberKind,
    /** The subscriber; its address is empty for a process that accepts no gathers. */
    readonly subscriber: KnownGateway,
    /** Whether frames are compressed: the subscriber is in another zone and supports compression. */
    readonly isCompressed = false,
  ) {}

  get name(): string {
    return this.subscriber.name;
  }

  /** Returns everything that was not sent to the subscriber yet, and marks it as sent. */
  takeUpdates(sources: DirectorySessionSources): DirectoryMessage[] {
    const messages: DirectoryMessage[] = [];
    // Evacuations and quarantine come before the routes: a gateway without routes forwards nothing yet.
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
   * Returns the time until the subscriber is due a document that it lacks; Infinity if it lacks
   * none. Milliseconds.
   *
   * A gateway receives documents from its preferred controller, which is in its own zone if that
   * zone has one. Another controller, also one of the same zone, sends a document only if the gateway
   * does not receive it there. The delay counts from the oldest version that the gateway lacks: if
   * each newer version restarted it, frequent changes would never reach a gateway whose preferred
   * controller is lost.
   */
  documentDueInMs(sources: DirectorySessionSources): number {
    const { clock, routeHistory, isPreferredFor } = sources;
    // Controllers read the document from the replicated log.
    if (this.kind !== SubscriberKind.Gateway) return Infinity;
    const lackingSince = routeHistory.supersededAt(this.heldVersion);
    if (lackingSince === undefined) return Infinity;
    if (this.confirmedDocumentVersion === NO_DOCUMENT) return 0;
    const dueAt = isPreferredFor(this.subscriber)
      ? this.documentSentAt + DOCUMENT_INTERVAL_MS
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

  /** Newest document version that the subscriber has confirmed or was sent on this stream. */
  private get heldVersion(): number {
    return Math.max(this.documentVersion, this.confirmedDocumentVersion);
  }

  /** Adds the gateways that joined, left or changed their address since the last call. */
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
