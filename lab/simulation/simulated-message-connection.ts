/** Framed connections over simulated sockets, with the behaviour of the Node ones. */
import { ConnectionError } from '../../src/errors/connection-error.js';
import {
  MAXIMUM_FRAME_BYTES,
  READ_FRAME_STEP,
  type MessageConnection,
} from '../../src/seams/message-connection.js';
import { never } from './process-life.js';
import type { SimulatedSocket, SocketHandlers } from './simulated-socket.js';

/** Received frames held before the sender is no longer told to go on. */
const RECEIVE_QUEUE_LIMIT = 64;
/** Bytes on the way, or in the peer's buffer, before frames wait at the sender. */
const WINDOW_BYTES = 256 * 1_024;
const FRAME_HEADER_BYTES = 4;

interface Waiter {
  resolve(frame: Uint8Array | undefined): void;
  reject(error: Error): void;
}

interface WaitingSender {
  resolve(): void;
  reject(error: Error): void;
}

/** See the module comment. */
export class SimulatedMessageConnection implements MessageConnection, SocketHandlers {
  readonly peer: string;
  readonly closed: Promise<void>;
  maximumFrameBytes = MAXIMUM_FRAME_BYTES;
  queuedBytes = 0;
  private unacknowledgedBytes = 0;
  private readonly waitingFrames: Uint8Array[] = [];
  private waitingSenders: WaitingSender[] = [];
  private readonly received: Uint8Array[] = [];
  private readonly deferredAcknowledgements: number[] = [];
  private waiter: Waiter | undefined;
  private failure: ConnectionError | undefined;
  private ended = false;
  private settleClosed!: () => void;

  constructor(private readonly socket: SimulatedSocket) {
    this.peer = `${socket.remoteHost}:${socket.remotePort}`;
    this.closed = new Promise((resolve) => {
      this.settleClosed = resolve;
    });
    socket.handle(this);
  }

  async send(frame: Uint8Array): Promise<void> {
    if (!this.socket.life.alive) return never();
    if (this.ended) {
      throw new ConnectionError('send', this.peer, 'connection closed', this.failure);
    }
    const copy = Buffer.from(frame);
    if (this.waitingFrames.length === 0 && this.unacknowledgedBytes < WINDOW_BYTES) {
      this.transmit(copy);
      return;
    }
    this.waitingFrames.push(copy);
    this.queuedBytes += copy.length + FRAME_HEADER_BYTES;
    await new Promise<void>((resolve, reject) => {
      this.waitingSenders.push({ resolve, reject });
    });
  }

  receive(): Promise<Uint8Array | undefined> {
    if (!this.socket.life.alive) return never();
    const frame = this.received.shift();
    if (frame !== undefined) {
      const bytes = this.deferredAcknowledgements.shift();
      if (bytes !== undefined) this.socket.acknowledge(bytes);
      return Promise.resolve(frame);
    }
    if (this.failure !== undefined) return Promise.reject(this.failure);
    if (this.ended) return Promise.resolve(undefined);
    return new Promise((resolve, reject) => {
      this.waiter = { resolve, reject };
    });
  }

  close(): void {
    if (!this.socket.life.alive) return;
    this.socket.end();
    this.finish();
  }

  onData(payload: unknown, bytes: number): void {
    const frame = payload as Uint8Array;
    if (frame.length > this.maximumFrameBytes) {
      this.socket.reset();
      this.fail(READ_FRAME_STEP, `frame of ${frame.length} bytes`);
      return;
    }
    const { waiter } = this;
    this.waiter = undefined;
    if (waiter === undefined) this.received.push(frame);
    else waiter.resolve(frame);
    if (this.received.length < RECEIVE_QUEUE_LIMIT) this.socket.acknowledge(bytes);
    else this.deferredAcknowledgements.push(bytes);
  }

  onAcknowledgement(bytes: number): void {
    this.unacknowledgedBytes -= bytes;
    while (this.unacknowledgedBytes < WINDOW_BYTES) {
      const frame = this.waitingFrames.shift();
      if (frame === undefined) break;
      this.queuedBytes -= frame.length + FRAME_HEADER_BYTES;
      this.transmit(frame);
    }
    if (this.waitingFrames.length > 0) return;
    const senders = this.waitingSenders;
    this.waitingSenders = [];
    for (const sender of senders) sender.resolve();
  }

  onEnd(): void {
    this.finish();
  }

  onReset(): void {
    this.fail('receive', 'connection reset');
  }

  private transmit(frame: Uint8Array): void {
    const bytes = frame.length + FRAME_HEADER_BYTES;
    this.unacknowledgedBytes += bytes;
    this.socket.send(frame, bytes);
  }

  private fail(step: string, reason: string): void {
    this.failure ??= new ConnectionError(step, this.peer, reason);
    this.waiter?.reject(this.failure);
    this.waiter = undefined;
    this.finish();
  }

  private finish(): void {
    if (this.ended) return;
    this.ended = true;
    this.waiter?.resolve(undefined);
    this.waiter = undefined;
    const senders = this.waitingSenders;
    this.waitingSenders = [];
    this.waitingFrames.length = 0;
    this.queuedBytes = 0;
    for (const sender of senders) {
      sender.reject(new ConnectionError('send', this.peer, 'connection closed', this.failure));
    }
    this.settleClosed();
  }
}
