/** The controller's end of the directory stream: sends changes to subscribers and tracks what they confirm. */
import type { Registry } from 'prom-client';
import { Notifier } from '../consensus/notifier.js';
import { SilenceGuard } from '../control-stream/silence-guard.js';
import { COMPRESSION_SINCE_VERSION, compressFrame } from '../protocol/compressed-frame.js';
import type { RemoteIdentity } from '../protocol/handshake.js';
import { isProtocolViolation } from '../protocol/protocol-violation.js';
import type { MessageConnection } from '../seams/message-connection.js';
import type { QuarantineChange } from '../quarantine/quarantine-register.js';
import { DIRECTORY_CODEC, SubscriberKind, type DirectoryMessage } from './directory-messages.js';
import { quarantineChange } from './quarantine-messages.js';
import type { VersionConfirmer } from './version-confirmer.js';
import { DirectorySession, type DirectorySessionSources } from './directory-session.js';
import { ControllerRoster, type DirectoryMember } from './controller-roster.js';
import { DirectoryMetrics, SubscriberPlace } from './directory-metrics.js';
import { GatewayRoster } from './gateway-roster.js';
import type { GatewayRoutes } from './gateway-routes.js';
import type { KnownGateway } from './leaf-gateway.js';
import { BATCH_INTERVAL_MS, STATUS_INTERVAL_MS, STREAM_SILENCE_MS } from './directory-timing.js';

/** Most messages in one frame; keeps frames far below the maximum frame length. */
const MESSAGES_PER_FRAME = 2_000;

/** Data and callbacks of the server; it adds what it knows of its subscribers itself. */
export interface DirectoryServerSources extends Pick<
  DirectorySessionSources,
  'clock' | 'directory' | 'document' | 'routeHistory' | 'evacuations' | 'quarantine' | 'ageMs'
> {
  /** Whether long frames to subscribers in other zones are compressed. */
  readonly compressBetweenZones: boolean;
  readonly members: () => readonly DirectoryMember[];
  readonly ownZone: string;
  /** Name of this controller. */
  readonly ownName: string;
  readonly registry: Registry;
  /** Gateways that follow other controllers, as reported by those controllers. */
  readonly otherGateways: () => readonly KnownGateway[];
  /** Called when a subscriber sends an unreadable frame; its stream is closed. */
  readonly onUnreadable: (subscriber: string) => void;
  /** Called when a gateway reports crash evidence: replicas that ended under a request, or a reply to it. */
  readonly onCrashEvidence: (change: QuarantineChange) => void;
  /** Answers gateways that ask which route document version is in force. */
  readonly confirmer: VersionConfirmer;
}

/** Which subscribers have confirmed a position. */
export interface Confirmation {
  /** Names of the other controllers that have confirmed the position. */
  readonly controllers: ReadonlySet<string>;
  /** Number of gateways that follow this controller and have not confirmed the position. */
  readonly gatewaysMissing: number;
  /** Number of controllers that follow this one and have gateways yet to confirm the position. */
  readonly relaysMissing: number;
}

/** Keeps one {@link DirectorySession} for each connected subscriber. */
export class DirectoryServer {
  private readonly sessions = new Set<DirectorySession>();
  private readonly roster: GatewayRoster;
  private readonly updateNotifier: Notifier;
  private readonly confirmationNotifier: Notifier;
  private readonly sessionSources: DirectorySessionSources;
  private readonly metrics: DirectoryMetrics;
  private readonly controllers: ControllerRoster;
  private stopping = false;

  constructor(private readonly sources: DirectoryServerSources) {
    this.roster = new GatewayRoster({
      clock: sources.clock,
      own: () => this.subscribersOf(SubscriberKind.Gateway),
      others: sources.otherGateways,
    });
    this.sessionSources = {
      ...sources,
      controllers: () => this.controllers.all(),
      isPreferredFor: (gateway) => this.controllers.isPreferredFor(gateway),
      gatewaysFor: (kind) =>
        kind === SubscriberKind.Controller ? this.roster.own : this.roster.leaves,
    };
    this.controllers = new ControllerRoster({
      ...sources,
      connected: () => this.subscribersOf(SubscriberKind.Controller),
    });
    this.updateNotifier = new Notifier(sources.clock);
    this.confirmationNotifier = new Notifier(sources.clock);
    this.metrics = new DirectoryMetrics(sources.registry, {
      routeVersion: () => sources.document()?.version,
      lackingMs: () => this.gatewayRoutes().flatMap(({ lackingMs }) => lackingMs ?? []),
    });
  }

  /** Returns the route document state of each gateway that follows this controller. */
  gatewayRoutes(): GatewayRoutes[] {
    const byGateway = new Map<string, GatewayRoutes>();
    // If a gateway has two streams, the later one counts: the earlier one is about to close.
    for (const session of this.sessions) {
      if (session.kind !== SubscriberKind.Gateway) continue;
      byGateway.set(session.name, this.routesOf(session));
    }
    return [...byGateway.values()];
  }

  /** Wakes the senders after a change that subscribers may have to receive. */
  notify(): void {
    this.updateNotifier.notify();
  }

  /** Records a heartbeat that a replica sent to this controller, for the next frame to the others. */
  recordHeartbeat(replicaId: string): void {
    for (const session of this.sessions) {
      if (session.kind === SubscriberKind.Controller) session.pendingHeartbeats.add(replicaId);
    }
  }

  /**
   * Waits until `isEnough` accepts the confirmations of `position`. Returns false if that takes
   * longer than `timeoutMs`.
   */
  async waitForConfirmations(
    position: number,
    timeoutMs: number,
    isEnough: (confirmation: Confirmation) => boolean,
  ): Promise<boolean> {
    const { clock } = this.sources;
    const deadline = clock.now() + timeoutMs;
    while (!isEnough(this.confirmation(position))) {
      const remainingMs = deadline - clock.now();
      if (remainingMs <= 0) return false;
      await this.confirmationNotifier.wait(remainingMs);
    }
    return true;
  }

  /** Returns which subscribers have confirmed `position` so far. */
  confirmation(position: number): Confirmation {
    const controllers = new Set<string>();
    let gatewaysMissing = 0;
    let relaysMissing = 0;
    for (const { name, kind, confirmedPosition, relayedPosition } of this.sessions) {
      const hasConfirmed = confirmedPosition >= position;
      if (kind === SubscriberKind.Controller && hasConfirmed) controllers.add(name);
      if (kind === SubscriberKind.Gateway && !hasConfirmed) gatewaysMissing += 1;
      if (kind === SubscriberKind.Controller && relayedPosition < position) relaysMissing += 1;
    }
    return { controllers, gatewaysMissing, relaysMissing };
  }

  /** Serves one subscriber until its connection ends. */
  async serve(connection: MessageConnection, peer: RemoteIdentity): Promise<void> {
    const session = await this.tryOpen(connection, peer);
    if (session === undefined) return;
    this.sessions.add(session);
    const guard = new SilenceGuard(this.sources.clock, connection, STREAM_SILENCE_MS);
    void guard.run();
    void this.receiveConfirmations(connection, session, guard);
    try {
      await this.sendUpdates(connection, session);
    } finally {
      this.sessions.delete(session);
      this.confirmationNotifier.notify();
    }
  }

  /** Announces to every subscriber that this controller is about to stop. */
  stop(): void {
    this.stopping = true;
    this.updateNotifier.notify();
  }

  private async tryOpen(
    connection: MessageConnection,
    peer: RemoteIdentity,
  ): Promise<DirectorySession | undefined> {
    try {
      return await this.open(connection, peer);
    } catch (error) {
      // A connection that broke before it subscribed only has to be closed.
      if (isProtocolViolation(error)) this.sources.onUnreadable(peer.name);
      return undefined;
    }
  }

  private async open(
    connection: MessageConnection,
    { name, protocolVersion }: RemoteIdentity,
  ): Promise<DirectorySession | undefined> {
    const frame = await connection.receive();
    if (frame === undefined) return undefined;
    const message = DIRECTORY_CODEC.decode(frame, name);
    if (message.kind !== 'subscribe') return undefined;
    const isController = message.subscriberKind === SubscriberKind.Controller.valueOf();
    const kind = isController ? SubscriberKind.Controller : SubscriberKind.Gateway;
    const { zone, gatherAddress: address } = message;
    if (isController) this.controllers.recordConnected(name, zone);
    const isInOtherZone = zone !== this.sources.ownZone;
    const supportsCompression = protocolVersion >= COMPRESSION_SINCE_VERSION;
    const isCompressed = this.sources.compressBetweenZones && isInOtherZone && supportsCompression;
    return new DirectorySession(kind, { name, zone, address }, isCompressed);
  }

  private subscribersOf(wanted: SubscriberKind): readonly KnownGateway[] {
    return [...this.sessions]
      .filter(({ kind }) => kind === wanted)
      .map(({ subscriber }) => subscriber);
  }

  private routesOf({
    subscriber,
    confirmedDocumentVersion: version,
  }: DirectorySession): GatewayRoutes {
    const { clock, routeHistory } = this.sources;
    const { name: gateway, zone } = subscriber;
    const since = routeHistory.supersededAt(version);
    const lackingMs = since === undefined ? undefined : clock.now() - since;
    return { gateway, zone, version, lackingMs, owedBy: this.controllers.responsibleFor(zone) };
  }

  private async sendUpdates(
    connection: MessageConnection,
    session: DirectorySession,
  ): Promise<void> {
    const { clock } = this.sources;
    let isOpen = true;
    void connection.closed.then(() => {
      isOpen = false;
      this.updateNotifier.notify();
    });
    while (isOpen) {
      const messages = this.takeUpdates(session);
      const documentDueInMs = session.documentDueInMs(this.sessionSources);
      const nextUpdate = this.updateNotifier.wait(Math.min(STATUS_INTERVAL_MS, documentDueInMs));
      await this.sendFrames(connection, messages, session);
      await nextUpdate;
      if (isOpen) await clock.sleep(BATCH_INTERVAL_MS);
    }
  }

  private takeUpdates(session: DirectorySession): DirectoryMessage[] {
    const messages = session.takeUpdates(this.sessionSources);
    this.countDocuments(session, messages);
    return messages;
  }

  /**
   * Sends `messages`, which contain all changes up to `position`. The position is read before the
   * first await, since the session may move on meanwhile.
   */
  private async sendFrames(
    connection: MessageConnection,
    messages: readonly DirectoryMessage[],
    { position, isCompressed }: DirectorySession,
  ): Promise<void> {
    let start = 0;
    do {
      const batch = messages.slice(start, start + MESSAGES_PER_FRAME);
      start += MESSAGES_PER_FRAME;
      const isLast = start >= messages.length;
      // Only the last frame carries the position: the earlier ones do not contain all changes.
      batch.push(this.status(isLast ? position : 0));
      const frame = DIRECTORY_CODEC.encodeBatch(batch);
      await connection.send(isCompressed ? compressFrame(frame) : frame);
    } while (start < messages.length);
  }

  private countDocuments(
    { subscriber }: DirectorySession,
    messages: readonly DirectoryMessage[],
  ): void {
    const isInOwnZone = subscriber.zone === this.sources.ownZone;
    const place = isInOwnZone ? SubscriberPlace.OwnZone : SubscriberPlace.OtherZone;
    for (const message of messages) {
      if (message.kind !== 'document') continue;
      this.metrics.documents.inc({ place });
      this.metrics.documentBytes.inc({ place }, message.content.length);
    }
  }

  private status(position: number): DirectoryMessage {
    const { stopping, roster } = this;
    const { count: gateways } = roster;
    return { kind: 'status', position, ageMs: this.sources.ageMs(), gateways, stopping };
  }

  private async receiveConfirmations(
    connection: MessageConnection,
    session: DirectorySession,
    guard: SilenceGuard,
  ): Promise<void> {
    try {
      for (;;) {
        const frame = await connection.receive();
        if (frame === undefined) break;
        guard.recordReceived();
        const message = DIRECTORY_CODEC.decode(frame, session.name);
        this.handleMessage(session, message);
        if (message.kind === 'confirmVersion') this.confirmVersion(connection, message.number);
      }
    } catch (error) {
      // The connection broke or sent an unreadable frame: the stream is closed.
      if (isProtocolViolation(error)) this.sources.onUnreadable(session.name);
    }
    connection.close();
  }

  /** Responds without batching, because the gateway's lease starts when it sent the request. */
  private confirmVersion(connection: MessageConnection, number: number): void {
    this.sources.confirmer.requestConfirmation(number, (confirmed) => {
      // The receiving task detects a broken connection.
      void connection.send(DIRECTORY_CODEC.encode(confirmed)).catch(() => undefined);
    });
  }

  private handleMessage(session: DirectorySession, message: DirectoryMessage): void {
    if (message.kind === 'crashEvidence') this.sources.onCrashEvidence(quarantineChange(message));
    if (message.kind === 'relayed') {
      session.relayedPosition = Math.max(session.relayedPosition, message.position);
      this.confirmationNotifier.notify();
    }
    if (message.kind !== 'confirm') return;
    session.confirmedPosition = Math.max(session.confirmedPosition, message.position);
    session.confirmedDocumentVersion = message.documentVersion;
    this.confirmationNotifier.notify();
  }
}
