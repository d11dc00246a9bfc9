/** The controller's end of the directory stream: tells subscribers what changed and hears what they hold. */
import { Notifier } from '../consensus/notifier.js';
import { SilenceGuard } from '../control-stream/silence-guard.js';
import type { RemoteIdentity } from '../protocol/handshake.js';
import type { MessageConnection } from '../seams/message-connection.js';
import { DIRECTORY_CODEC, SubscriberKind, type DirectoryMessage } from './directory-messages.js';
import {
  DirectorySession,
  type DirectoryController,
  type DirectorySessionSources,
} from './directory-session.js';
import { chooseLeaves, type KnownGateway, type LeafGateway } from './leaf-gateway.js';
import {
  BATCH_INTERVAL_MS,
  GATEWAY_REMEMBERED_MS,
  LEAVES_INTERVAL_MS,
  STATUS_INTERVAL_MS,
  STREAM_SILENCE_MS,
} from './directory-timing.js';

/** Most messages of one frame, which keeps it far below the longest frame. */
const MESSAGES_PER_FRAME = 2_000;

/** A member of the controllers' group. */
export interface DirectoryMember {
  readonly memberId: string;
  /** `host:port` for internal messages. */
  readonly address: string;
}

/** What subscribers are told, besides what the server knows of them. */
export interface DirectoryServerSources extends Pick<
  DirectorySessionSources,
  'clock' | 'directory' | 'document' | 'ageMs' | 'ownZone'
> {
  readonly members: () => readonly DirectoryMember[];
  /** This controller. */
  readonly ownName: string;
  /** Gateways that follow other controllers, as those say. */
  readonly otherGateways: () => readonly KnownGateway[];
}

/** Who confirmed a position. */
export interface Confirmation {
  /** Names of the controllers that hold it, besides this one. */
  readonly controllers: ReadonlySet<string>;
  /** Gateways that follow this controller and do not hold it yet. */
  readonly gatewaysMissing: number;
  /** Controllers that follow this one and whose gateways do not all hold it yet. */
  readonly relaysMissing: number;
}

/** See the module comment. */
export class DirectoryServer {
  private readonly sessions = new Set<DirectorySession>();
  private readonly gatewaySeenAt = new Map<string, number>();
  private readonly news: Notifier;
  private readonly confirmations: Notifier;
  private readonly sessionSources: DirectorySessionSources;
  private leaves: readonly LeafGateway[] = [];
  private leavesChosenAt = -Infinity;
  private stopping = false;

  constructor(private readonly sources: DirectoryServerSources) {
    this.sessionSources = {
      ...sources,
      controllers: () => this.controllers(),
      gatewaysFor: (kind) =>
        kind === SubscriberKind.Controller ? this.ownGateways() : this.currentLeaves(),
    };
    this.news = new Notifier(sources.clock);
    this.confirmations = new Notifier(sources.clock);
  }

  /** Something may have changed that subscribers are told. */
  notify(): void {
    this.news.notify();
  }

  /** A replica's heartbeat came to this controller. */
  noteHeard(replicaId: string): void {
    for (const session of this.sessions) {
      if (session.kind === SubscriberKind.Controller) session.heard.add(replicaId);
    }
  }

  /** Gateways that follow any controller now or did a short while ago. */
  get gateways(): number {
    const now = this.sources.clock.now();
    for (const { name } of this.sources.otherGateways()) this.gatewaySeenAt.set(name, now);
    const oldest = now - GATEWAY_REMEMBERED_MS;
    for (const [name, seenAt] of this.gatewaySeenAt) {
      if (seenAt < oldest) this.gatewaySeenAt.delete(name);
    }
    return this.gatewaySeenAt.size;
  }

  /** Waits until `isEnough` of the confirmations of `position`, or `milliseconds` have passed. */
  async waitConfirmed(
    position: number,
    milliseconds: number,
    isEnough: (confirmation: Confirmation) => boolean,
  ): Promise<boolean> {
    const { clock } = this.sources;
    const deadline = clock.now() + milliseconds;
    while (!isEnough(this.confirmation(position))) {
      const rest = deadline - clock.now();
      if (rest <= 0) return false;
      await this.confirmations.wait(rest);
    }
    return true;
  }

  confirmation(position: number): Confirmation {
    const controllers = new Set<string>();
    let gatewaysMissing = 0;
    let relaysMissing = 0;
    for (const { name, kind, confirmedPosition, relayedPosition } of this.sessions) {
      const holds = confirmedPosition >= position;
      if (kind === SubscriberKind.Controller && holds) controllers.add(name);
      if (kind === SubscriberKind.Gateway && !holds) gatewaysMissing += 1;
      if (kind === SubscriberKind.Controller && relayedPosition < position) relaysMissing += 1;
    }
    return { controllers, gatewaysMissing, relaysMissing };
  }

  /** Serves one subscriber until its connection ends. */
  async serve(connection: MessageConnection, peer: RemoteIdentity): Promise<void> {
    const session = await this.open(connection, peer.name);
    if (session === undefined) return;
    this.sessions.add(session);
    this.news.notify();
    const guard = new SilenceGuard(this.sources.clock, connection, STREAM_SILENCE_MS);
    void guard.run();
    void this.receiveConfirmations(connection, session, guard);
    try {
      await this.sendNews(connection, session);
    } finally {
      this.sessions.delete(session);
      this.news.notify();
      this.confirmations.notify();
    }
  }

  /** Tells every subscriber that this controller is about to stop. */
  stop(): void {
    this.stopping = true;
    this.news.notify();
  }

  private async open(
    connection: MessageConnection,
    name: string,
  ): Promise<DirectorySession | undefined> {
    const frame = await connection.receive();
    if (frame === undefined) return undefined;
    const message = DIRECTORY_CODEC.decode(frame, name);
    if (message.kind !== 'subscribe') return undefined;
    const isController = message.subscriberKind === SubscriberKind.Controller.valueOf();
    const kind = isController ? SubscriberKind.Controller : SubscriberKind.Gateway;
    const { zone, gatherAddress: address } = message;
    return new DirectorySession(kind, { name, zone, address });
  }

  /** Gateways that follow this controller; the newest connection of each counts. */
  private ownGateways(): Iterable<KnownGateway> {
    const byName = new Map<string, KnownGateway>();
    for (const { kind, subscriber } of this.sessions) {
      if (kind === SubscriberKind.Gateway) byName.set(subscriber.name, subscriber);
    }
    return byName.values();
  }

  /** The group's members, with the zones of those that follow this controller. */
  private controllers(): readonly DirectoryController[] {
    const zones = new Map([[this.sources.ownName, this.sources.ownZone]]);
    for (const { kind, subscriber } of this.sessions) {
      if (kind === SubscriberKind.Controller) zones.set(subscriber.name, subscriber.zone);
    }
    return this.sources
      .members()
      .map(({ memberId, address }) => ({ memberId, address, zone: zones.get(memberId) ?? '' }));
  }

  /** Chosen anew now and then: when a fleet starts, gateways connect one after the other. */
  private currentLeaves(): readonly LeafGateway[] {
    const now = this.sources.clock.now();
    if (now - this.leavesChosenAt < LEAVES_INTERVAL_MS) return this.leaves;
    this.leavesChosenAt = now;
    const gateways = new Map(this.sources.otherGateways().map((other) => [other.name, other]));
    for (const gateway of this.ownGateways()) gateways.set(gateway.name, gateway);
    this.leaves = chooseLeaves(gateways.values());
    return this.leaves;
  }

  private async sendNews(connection: MessageConnection, session: DirectorySession): Promise<void> {
    const { clock } = this.sources;
    let isOpen = true;
    void connection.closed.then(() => {
      isOpen = false;
      this.news.notify();
    });
    while (isOpen) {
      const news = this.news.wait(STATUS_INTERVAL_MS);
      await this.sendFrames(connection, session);
      await news;
      if (isOpen) await clock.sleep(BATCH_INTERVAL_MS);
    }
  }

  private async sendFrames(
    connection: MessageConnection,
    session: DirectorySession,
  ): Promise<void> {
    const messages = session.takeNews(this.sessionSources);
    const { position } = session;
    let start = 0;
    do {
      const batch = messages.slice(start, start + MESSAGES_PER_FRAME);
      start += MESSAGES_PER_FRAME;
      const isLast = start >= messages.length;
      // Only the last frame says that all is told up to the position.
      batch.push(this.status(isLast ? position : 0));
      await connection.send(DIRECTORY_CODEC.encodeBatch(batch));
    } while (start < messages.length);
  }

  private status(position: number): DirectoryMessage {
    const { gateways, stopping } = this;
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
        guard.heard();
        this.takeConfirmation(session, DIRECTORY_CODEC.decode(frame, session.name));
      }
    } catch {
      // Broken, or not a confirmation: the stream is no use any more.
    }
    connection.close();
  }

  private takeConfirmation(session: DirectorySession, message: DirectoryMessage): void {
    if (message.kind === 'relayed') {
      session.relayedPosition = Math.max(session.relayedPosition, message.position);
      this.confirmations.notify();
    }
    if (message.kind !== 'confirm') return;
    session.confirmedPosition = Math.max(session.confirmedPosition, message.position);
    session.confirmedDocumentVersion = message.documentVersion;
    if (session.kind === SubscriberKind.Gateway) {
      this.gatewaySeenAt.set(session.name, this.sources.clock.now());
    }
    this.confirmations.notify();
  }
}
