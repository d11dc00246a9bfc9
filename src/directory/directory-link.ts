/** The subscriber's end of the directory stream to one controller; reconnects until stopped. */
import { SilenceGuard } from '../control-stream/silence-guard.js';
import { dial } from '../protocol/dial.js';
import { expandFrame, isCompressed } from '../protocol/compressed-frame.js';
import { MeteredConnection } from '../protocol/metered-connection.js';
import { isProtocolViolation } from '../protocol/protocol-violation.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import type { ZoneTraffic } from '../observability/zone-traffic.js';
import { parseAddress } from '../seams/address.js';
import type { Environment } from '../seams/environment.js';
import type { MessageConnection } from '../seams/message-connection.js';
import {
  DIRECTORY_CODEC,
  type ControllerMessage,
  type DirectoryMessage,
  type GatewayMessage,
  type StatusMessage,
  type SubscriberKind,
} from './directory-messages.js';
import type { KnownController } from './controller-choice.js';
import type { KnownGateway } from './leaf-gateway.js';
import {
  MAXIMUM_DIAL_TIMEOUT_MS,
  INITIAL_DIAL_TIMEOUT_MS,
  INITIAL_REDIAL_BACKOFF_MS,
  MAXIMUM_REDIAL_BACKOFF_MS,
  STREAM_SILENCE_MS,
} from './directory-timing.js';

/** What a controller tells besides its own state. */
export type DirectoryUpdate = Exclude<
  DirectoryMessage,
  StatusMessage | ControllerMessage | GatewayMessage
>;

/** What all links of a process share. */
export interface DirectoryLinkParts {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly subscriberKind: SubscriberKind;
  readonly zone: string;
  readonly traffic: ZoneTraffic;
  /** Zone of the controller at an address; empty while it is not known. */
  readonly zoneOf: (address: string) => string;
  /** See `SubscribeMessage.gatherAddress`. */
  readonly gatherAddress: string;
  readonly onUpdate: (message: DirectoryUpdate, link: DirectoryLink) => void;
  /** A controller named gateways that joined or went. */
  readonly onGateways: () => void;
  /** A controller named the members of its group. */
  readonly onControllers: (link: DirectoryLink) => void;
  /** Version of the route document in force here. */
  readonly documentVersion: () => number;
  /**
   * Resolves once all gateways that follow this process hold what it knows now;
   * false when that takes too long. Absent at gateways, which nobody follows.
   */
  readonly relay?: (() => Promise<boolean>) | undefined;
  /** The controller has sent its first status on a connection: it can be asked now. */
  readonly onFirstStatus: () => void;
  /** The controller sent what cannot be read; the link is about to be lost. */
  readonly onUnreadable: (link: DirectoryLink) => void;
  /** The link was opened or lost. */
  readonly onState: (link: DirectoryLink, isOpen: boolean) => void;
}

/** What the controller last said of itself. */
export interface LinkStatus extends StatusMessage {
  readonly receivedAt: number;
}

/** What a frame brought. */
interface FrameResult {
  /** Of the controller's directory; undefined for an answer, which needs no confirmation. */
  readonly position: number | undefined;
  /** Whether it told of a replica. */
  readonly hasReplicas: boolean;
}

/** `first`, doubled with each failure in a row, at most `longest`. */
function doubledPerFailure(initialMs: number, maximumMs: number, failures: number): number {
  return Math.min(initialMs * 2 ** failures, maximumMs);
}

/** See the module comment. */
export class DirectoryLink {
  /** The controller's last word on this connection; undefined while there is none. */
  status: LinkStatus | undefined;
  /** The group's members, as the controller last named them. */
  controllers: readonly KnownController[] = [];
  /** When the first connection was tried. Clock reading. */
  readonly startedAt: number;
  /** Gateways by name, as the controller last named them on this connection. */
  readonly gateways = new Map<string, KnownGateway>();
  private readonly stopped = new AbortController();
  private connection: MessageConnection | undefined;
  /** Newest position that the gateways behind this process have yet to confirm. */
  private unrelayedPosition: number | undefined;
  /** Dials in a row that opened no stream. */
  private failures = 0;
  private readonly finished: Promise<void>;

  constructor(
    private readonly parts: DirectoryLinkParts,
    /** `host:port` of the controller. */
    readonly address: string,
  ) {
    this.startedAt = parts.environment.clock.now();
    this.finished = this.run();
  }

  /** Sends a message when the stream is open; false when it is not. */
  send(message: DirectoryMessage): boolean {
    if (this.connection === undefined || this.status === undefined) return false;
    // A connection that broke is noticed by the task that reads it.
    void this.connection.send(DIRECTORY_CODEC.encode(message)).catch(() => undefined);
    return true;
  }

  async stop(): Promise<void> {
    this.stopped.abort(new Error('stopped'));
    this.connection?.close();
    await this.finished;
  }

  private async run(): Promise<void> {
    const { clock, random } = this.parts.environment;
    while (!this.stopped.signal.aborted) {
      await this.connectAndFollow();
      const backoff = doubledPerFailure(
        INITIAL_REDIAL_BACKOFF_MS,
        MAXIMUM_REDIAL_BACKOFF_MS,
        this.failures,
      );
      this.failures += 1;
      const pause = backoff * (0.5 + random.nextFloat() / 2);
      await clock.sleep(pause, this.stopped.signal).catch(() => undefined);
    }
  }

  private async connectAndFollow(): Promise<void> {
    const { environment, identity, onState } = this.parts;
    let wasOpen = false;
    try {
      const address = parseAddress(this.address);
      const connectTimeout = doubledPerFailure(
        INITIAL_DIAL_TIMEOUT_MS,
        MAXIMUM_DIAL_TIMEOUT_MS,
        this.failures,
      );
      const target = { address, role: 'directory', connectTimeout } as const;
      const connection = this.meter(await dial(environment, identity, target));
      this.connection = connection;
      if (this.stopped.signal.aborted) return;
      this.gateways.clear();
      await connection.send(this.subscription());
      wasOpen = true;
      this.failures = 0;
      onState(this, true);
      await this.follow(connection);
    } catch (error) {
      // Lost, or not a controller: dialled again after a pause.
      if (isProtocolViolation(error)) this.parts.onUnreadable(this);
    } finally {
      this.connection?.close();
      this.connection = undefined;
      this.status = undefined;
      if (wasOpen) onState(this, false);
    }
  }

  private meter(connection: MessageConnection): MessageConnection {
    const { traffic, zoneOf } = this.parts;
    return new MeteredConnection(connection, {
      kindOf: (frame) =>
        `directory_${isCompressed(frame) ? 'compressed' : DIRECTORY_CODEC.kindOf(frame)}`,
      note: (note) => traffic.note(zoneOf(this.address), note),
    });
  }

  private subscription(): Uint8Array {
    const { subscriberKind, zone, gatherAddress } = this.parts;
    return DIRECTORY_CODEC.encode({ kind: 'subscribe', subscriberKind, zone, gatherAddress });
  }

  private handleGateway({ name, zone, address, isGone }: GatewayMessage): void {
    if (isGone) this.gateways.delete(name);
    else this.gateways.set(name, { name, zone, address });
  }

  private async follow(connection: MessageConnection): Promise<void> {
    const { clock } = this.parts.environment;
    const guard = new SilenceGuard(clock, connection, STREAM_SILENCE_MS);
    void guard.run();
    for (;;) {
      const frame = await connection.receive();
      if (frame === undefined) return;
      guard.recordReceived();
      const { position, hasReplicas } = this.handleFrame(frame);
      if (position === undefined) continue;
      const documentVersion = this.parts.documentVersion();
      await connection.send(DIRECTORY_CODEC.encode({ kind: 'confirm', position, documentVersion }));
      if (hasReplicas) void this.confirmRelayed(position);
    }
  }

  /** One wait at a time: what comes meanwhile is confirmed together by the next one. */
  private async confirmRelayed(position: number): Promise<void> {
    const { relay } = this.parts;
    const isWaiting = this.unrelayedPosition !== undefined;
    this.unrelayedPosition = position;
    if (relay === undefined || isWaiting) return;
    while (this.unrelayedPosition !== undefined) {
      const current: number = this.unrelayedPosition;
      const isRelayed = await relay();
      if (this.unrelayedPosition === current) this.unrelayedPosition = undefined;
      if (!isRelayed) continue;
      // A connection that broke is noticed by the task that reads it.
      await this.connection
        ?.send(DIRECTORY_CODEC.encode({ kind: 'relayed', position: current }))
        .catch(() => undefined);
    }
  }

  private decode(frame: Uint8Array): DirectoryMessage[] {
    return DIRECTORY_CODEC.decodeBatch(expandFrame(frame, this.address), this.address);
  }

  /** Takes a whole frame in. */
  private handleFrame(frame: Uint8Array): FrameResult {
    let position: number | undefined;
    const controllers: KnownController[] = [];
    let hasGateways = false;
    let hasReplicas = false;
    for (const message of this.decode(frame)) {
      if (message.kind === 'status') {
        position = message.position;
        const isFirst = this.status === undefined;
        this.status = { ...message, receivedAt: this.parts.environment.clock.now() };
        if (isFirst) this.parts.onFirstStatus();
      } else if (message.kind === 'controller') {
        controllers.push(message);
      } else if (message.kind === 'gateway') {
        this.handleGateway(message);
        hasGateways = true;
      } else {
        this.parts.onUpdate(message, this);
        hasReplicas ||= message.kind === 'replica' || message.kind === 'replicaLife';
      }
    }
    if (hasGateways) this.parts.onGateways();
    if (controllers.length > 0) {
      this.controllers = controllers;
      this.parts.onControllers(this);
    }
    return { position, hasReplicas };
  }
}
