/** The subscriber's end of the directory stream from one controller; reconnects until stopped. */
import { SilenceGuard } from '../control-stream/silence-guard.js';
import { dial } from '../protocol/dial.js';
import { expandFrame, isCompressed } from '../protocol/compressed-frame.js';
import { MeteredConnection } from '../protocol/metered-connection.js';
import { isProtocolViolation } from '../protocol/protocol-violation.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import type { ZoneTraffic } from '../observability/zone-traffic.js';
import { parseAddress } from '../seams/address.js';
import type { Environment } from '../seams/environment.js';
import { chargeProcessor, ProcessorCause } from '../seams/processor-meter.js';
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

/** Messages that a link passes on; it handles status, controller and gateway messages itself. */
export type DirectoryUpdate = Exclude<
  DirectoryMessage,
  StatusMessage | ControllerMessage | GatewayMessage
>;

/** Dependencies and callbacks shared by all links of a process. */
export interface DirectoryLinkParts {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly subscriberKind: SubscriberKind;
  readonly zone: string;
  readonly traffic: ZoneTraffic;
  /** Zone of the controller at an address; empty while unknown. */
  readonly zoneOf: (address: string) => string;
  /** See {@link SubscribeMessage.gatherAddress}. */
  readonly gatherAddress: string;
  readonly onUpdate: (message: DirectoryUpdate, link: DirectoryLink) => void;
  /** Called when a controller reports that gateways joined or left, with the names of those that left. */
  readonly onGateways: (gone: readonly string[]) => void;
  /** Called when a controller sends the members of its group. */
  readonly onControllers: (link: DirectoryLink) => void;
  /** Version of the route document in force in this process. */
  readonly documentVersion: () => number;
  /**
   * Resolves to true once all gateways that follow this process have confirmed everything it
   * currently knows, and to false on timeout. Absent in gateways, which have no subscribers.
   */
  readonly relay?: (() => Promise<boolean>) | undefined;
  /** Called on the first status of a connection; from then on the controller accepts requests. */
  readonly onFirstStatus: () => void;
  /** Called when the controller sends an unreadable frame; the link closes afterwards. */
  readonly onUnreadable: (link: DirectoryLink) => void;
  /** Called when the link opens or is lost. */
  readonly onState: (link: DirectoryLink, isOpen: boolean) => void;
}

/** The controller's latest status. */
export interface LinkStatus extends StatusMessage {
  /** Clock reading. */
  readonly receivedAt: number;
}

/** Result of handling one frame. */
interface FrameResult {
  /** Position of the controller's directory; undefined for a response, which needs no confirmation. */
  readonly position: number | undefined;
  /** Whether the frame contained replica entries. */
  readonly hasReplicas: boolean;
}

/** Returns `initialMs` doubled for each consecutive failure, limited to `maximumMs`. */
function doubledPerFailure(initialMs: number, maximumMs: number, failures: number): number {
  return Math.min(initialMs * 2 ** failures, maximumMs);
}

/** Starts to connect when constructed. */
export class DirectoryLink {
  /** Latest status on this connection; undefined before the first. */
  status: LinkStatus | undefined;
  /** Group members last sent by the controller. */
  controllers: readonly KnownController[] = [];
  /** When the first connection was attempted. Clock reading. */
  readonly startedAt: number;
  /** When the stream opened; undefined while it is not open. Clock reading. */
  openedAt: number | undefined;
  /** Gateways by name, as listed by the controller on this connection. */
  readonly gateways = new Map<string, KnownGateway>();
  private readonly stopped = new AbortController();
  private connection: MessageConnection | undefined;
  /** Newest position not yet confirmed by the gateways that follow this process. */
  private unrelayedPosition: number | undefined;
  /** Consecutive dials that opened no stream. */
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

  /** Whether the last dial failed, or the stream was lost and is not open again. */
  get isUnreachable(): boolean {
    return this.failures > 0 && this.openedAt === undefined;
  }

  /** Sends a message if the stream is open; returns false otherwise. */
  send(message: DirectoryMessage): boolean {
    if (this.connection === undefined || this.status === undefined) return false;
    // The receiving task detects a broken connection.
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
      const { signal } = this.stopped;
      const target = { address, role: 'directory', connectTimeout, signal } as const;
      const connection = this.meter(await dial(environment, identity, target));
      this.connection = connection;
      if (this.stopped.signal.aborted) return;
      this.gateways.clear();
      await connection.send(this.subscription());
      wasOpen = true;
      this.failures = 0;
      this.openedAt = environment.clock.now();
      onState(this, true);
      await this.follow(connection);
    } catch (error) {
      // The connection failed or the peer is not a controller; run() dials again after a backoff.
      if (isProtocolViolation(error)) this.parts.onUnreadable(this);
    } finally {
      this.connection?.close();
      this.connection = undefined;
      this.openedAt = undefined;
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
      const { position, hasReplicas } = chargeProcessor(
        this.parts.environment.processor,
        ProcessorCause.Controllers,
        () => this.handleFrame(frame),
      );
      if (position === undefined) continue;
      const documentVersion = this.parts.documentVersion();
      await connection.send(DIRECTORY_CODEC.encode({ kind: 'confirm', position, documentVersion }));
      if (hasReplicas) void this.confirmRelayed(position);
    }
  }

  /**
   * Waits until the gateways that follow this process have confirmed `position`, then tells the
   * controller. Only one wait runs at a time; the next one covers all positions that arrive meanwhile.
   */
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
      // The receiving task detects a broken connection.
      await this.connection
        ?.send(DIRECTORY_CODEC.encode({ kind: 'relayed', position: current }))
        .catch(() => undefined);
    }
  }

  private decode(frame: Uint8Array): DirectoryMessage[] {
    return DIRECTORY_CODEC.decodeBatch(expandFrame(frame, this.address), this.address);
  }

  /** Handles all messages of a frame, then calls the callbacks for gateways and controllers once. */
  private handleFrame(frame: Uint8Array): FrameResult {
    let position: number | undefined;
    const controllers: KnownController[] = [];
    const changedGateways: GatewayMessage[] = [];
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
        changedGateways.push(message);
      } else {
        this.parts.onUpdate(message, this);
        hasReplicas ||= message.kind === 'replica' || message.kind === 'replicaLife';
      }
    }
    if (changedGateways.length > 0) {
      const gone = changedGateways.filter(({ isGone }) => isGone);
      this.parts.onGateways(gone.map(({ name }) => name));
    }
    if (controllers.length > 0) {
      this.controllers = controllers;
      this.parts.onControllers(this);
    }
    return { position, hasReplicas };
  }
}
