/**
 * A daemon's connection to one controller. The link opens it, watches it and
 * ends it for one recorded reason; its owner handles the messages.
 */
import type { ControllerEndpoint } from '../configuration/daemon-configuration.js';
import { dial } from '../protocol/dial.js';
import { HandshakeError } from '../protocol/handshake-error.js';
import { MalformedMessageError } from '../protocol/malformed-message-error.js';
import { isProtocolViolation } from '../protocol/protocol-violation.js';
import type { MessageConnection } from '../seams/message-connection.js';
import type { SessionContext } from './session-context.js';
import type { SessionEnd } from './session-end.js';
import { SourceWatch } from './source-watch.js';
import { STREAM_CODEC, type StreamMessage, type SubscribeMessage } from './stream-messages.js';
import { CONNECT_TIMEOUT_MS, WATCH_INTERVAL_MS } from './stream-timing.js';

/** Carries one connection; cannot be reused. */
export class SourceLink {
  readonly watch: SourceWatch;
  private connection: MessageConnection | undefined;
  private reason: SessionEnd | undefined;
  private cause: unknown;
  private readonly endSignal = new AbortController();

  constructor(
    private readonly context: SessionContext,
    readonly endpoint: ControllerEndpoint,
    /** Clock reading until which a stale or behind source is tolerated. Milliseconds. */
    staleUntil: number,
  ) {
    this.watch = new SourceWatch(context.environment.clock.now(), staleUntil);
  }

  /** Message of the error that ended the connection, if there was one. */
  get detail(): string | undefined {
    return this.cause instanceof Error ? this.cause.message : undefined;
  }

  get ended(): boolean {
    return this.reason !== undefined;
  }

  /**
   * Connects, subscribes and passes each message to `handle` until either side
   * ends the connection. Resolves with the reason for the end; never rejects.
   */
  async run(
    subscription: SubscribeMessage,
    handle: (message: StreamMessage) => void,
  ): Promise<SessionEnd> {
    try {
      const connection = await this.open();
      if (connection !== undefined) {
        void this.watchSource();
        await connection.send(STREAM_CODEC.encode(subscription));
        await this.receiveAll(connection, handle);
      }
    } catch (error) {
      const malformed = isProtocolViolation(error);
      if (malformed) this.context.metrics.malformedFrames.inc();
      this.end(malformed ? 'malformed' : 'lost', error);
    }
    return this.end('lost');
  }

  /** Ends the connection. The first call determines the reason, which each call returns. */
  end(reason: SessionEnd, cause?: unknown): SessionEnd {
    if (this.reason === undefined) this.cause = cause;
    this.reason ??= reason;
    this.endSignal.abort(new Error(reason));
    this.connection?.close();
    return this.reason;
  }

  /** Sends a message if the connection is open; never rejects. */
  async send(message: StreamMessage): Promise<void> {
    try {
      await this.connection?.send(STREAM_CODEC.encode(message));
    } catch {
      // The receiving task sees the same failure and ends the connection.
    }
  }

  /** Sleeps; resolves with false if the link is ended in the meantime. */
  async pause(milliseconds: number): Promise<boolean> {
    try {
      await this.context.environment.clock.sleep(milliseconds, this.endSignal.signal);
      return true;
    } catch {
      return false;
    }
  }

  malformed(message: string, cause?: unknown): MalformedMessageError {
    return new MalformedMessageError('read stream', this.endpoint.memberId, message, cause);
  }

  private async open(): Promise<MessageConnection | undefined> {
    const { environment, identity } = this.context;
    const { address, memberId } = this.endpoint;
    try {
      this.connection = await dial(environment, identity, {
        address,
        role: 'subscriber',
        memberId,
        connectTimeout: CONNECT_TIMEOUT_MS,
        signal: this.endSignal.signal,
      });
    } catch (error) {
      this.end(error instanceof HandshakeError ? 'handshake_failed' : 'connect_failed', error);
      return undefined;
    }
    if (this.ended) {
      this.connection.close();
      return undefined;
    }
    this.watch.recordOpened(environment.clock.now());
    return this.connection;
  }

  private async receiveAll(
    connection: MessageConnection,
    handle: (message: StreamMessage) => void,
  ): Promise<void> {
    while (!this.ended) {
      const frame = await connection.receive();
      if (frame === undefined || this.ended) return;
      this.watch.recordReceived(this.context.environment.clock.now());
      this.context.metrics.receivedBytes.inc(frame.length);
      for (const message of STREAM_CODEC.decodeBatch(frame, connection.peer)) handle(message);
    }
  }

  private async watchSource(): Promise<void> {
    while (await this.pause(WATCH_INTERVAL_MS)) {
      const reason = this.watch.reasonToLeave(this.context.environment.clock.now());
      if (reason !== undefined && this.context.faults.neverLeave !== true) this.end(reason);
    }
  }
}
