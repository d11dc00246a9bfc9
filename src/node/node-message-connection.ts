/** A framed connection over one TCP socket. */
import type { Socket } from 'node:net';
import { ConnectionError } from '../errors/connection-error.js';
import {
  MAXIMUM_FRAME_BYTES,
  READ_FRAME_STEP,
  type MessageConnection,
} from '../seams/message-connection.js';
import { FRAME_HEADER_BYTES, FrameReader } from './frame-reader.js';

/** Received frames held before the socket is paused. */
const RECEIVE_QUEUE_FRAMES = 64;
/** Their bytes: the peer decides how long a frame is. */
const RECEIVE_QUEUE_BYTES = MAXIMUM_FRAME_BYTES;

interface Waiter {
  resolve(frame: Uint8Array | undefined): void;
  reject(error: Error): void;
}

/** Production {@link MessageConnection}. */
export class NodeMessageConnection implements MessageConnection {
  readonly peer: string;
  readonly closed: Promise<void>;
  private readonly reader = new FrameReader();
  private readonly received: Uint8Array[] = [];
  private receivedBytes = 0;
  private waiter: Waiter | undefined;
  private failure: ConnectionError | undefined;
  private ended = false;

  constructor(private readonly socket: Socket) {
    this.peer = `${socket.remoteAddress ?? 'unknown'}:${socket.remotePort ?? 0}`;
    socket.setNoDelay(true);
    this.closed = new Promise((resolve) => {
      socket.once('close', () => resolve());
    });
    socket.on('data', (chunk: Buffer) => this.onData(chunk));
    socket.on('error', (error) => this.fail('receive', error));
    socket.on('end', () => this.onEnd());
    socket.on('close', () => this.onEnd());
  }

  get maximumFrameBytes(): number {
    return this.reader.maximumBytes;
  }

  set maximumFrameBytes(bytes: number) {
    this.reader.maximumBytes = bytes;
  }

  get queuedBytes(): number {
    return this.socket.writableLength;
  }

  async send(frame: Uint8Array): Promise<void> {
    if (this.socket.destroyed || !this.socket.writable) {
      throw new ConnectionError('send', this.peer, 'connection closed', this.failure);
    }
    const header = Buffer.allocUnsafe(FRAME_HEADER_BYTES);
    header.writeUInt32BE(frame.length);
    this.socket.cork();
    this.socket.write(header);
    const roomLeft = this.socket.write(frame);
    this.socket.uncork();
    if (!roomLeft) await this.drained();
  }

  receive(): Promise<Uint8Array | undefined> {
    const frame = this.received.shift();
    if (frame !== undefined) {
      this.receivedBytes -= frame.length;
      if (!this.isQueueFull) this.socket.resume();
      return Promise.resolve(frame);
    }
    if (this.failure !== undefined) return Promise.reject(this.failure);
    if (this.ended) return Promise.resolve(undefined);
    return new Promise((resolve, reject) => {
      this.waiter = { resolve, reject };
    });
  }

  close(): void {
    this.socket.destroy();
    this.onEnd();
  }

  private drained(): Promise<void> {
    return new Promise((resolve, reject) => {
      const finish = (): void => {
        this.socket.off('drain', finish);
        this.socket.off('close', finish);
        if (!this.socket.destroyed) resolve();
        else reject(new ConnectionError('send', this.peer, 'connection closed', this.failure));
      };
      this.socket.on('drain', finish);
      this.socket.on('close', finish);
    });
  }

  private onData(chunk: Buffer): void {
    try {
      for (const frame of this.reader.push(chunk)) this.deliver(frame);
    } catch (error) {
      this.fail(READ_FRAME_STEP, error);
      return;
    }
    if (this.isQueueFull) this.socket.pause();
  }

  private get isQueueFull(): boolean {
    return (
      this.received.length >= RECEIVE_QUEUE_FRAMES || this.receivedBytes >= RECEIVE_QUEUE_BYTES
    );
  }

  private deliver(frame: Uint8Array): void {
    const { waiter } = this;
    this.waiter = undefined;
    if (waiter !== undefined) {
      waiter.resolve(frame);
      return;
    }
    this.received.push(frame);
    this.receivedBytes += frame.length;
  }

  private onEnd(): void {
    if (this.ended) return;
    if (!this.reader.atFrameBoundary) this.fail('receive', new Error('connection cut in a frame'));
    this.ended = true;
    this.socket.destroy();
    this.waiter?.resolve(undefined);
    this.waiter = undefined;
  }

  private fail(step: string, cause: unknown): void {
    const reason = cause instanceof Error ? cause.message : String(cause);
    this.failure ??= new ConnectionError(step, this.peer, reason, cause);
    this.waiter?.reject(this.failure);
    this.waiter = undefined;
    this.socket.destroy();
  }
}
