/** A framed connection over one TCP socket. */
import type { Socket } from 'node:net';
import { ConnectionError } from '../errors/connection-error.js';
import {
  MAXIMUM_FRAME_BYTES,
  READ_FRAME_STEP,
  type MessageConnection,
} from '../seams/message-connection.js';
import { FRAME_HEADER_BYTES, FrameReader } from './frame-reader.js';
import type { MemoryHolder, SharedMemory } from './shared-memory.js';

/** Received frames held before the socket is paused. */
const RECEIVE_QUEUE_FRAMES = 64;
/** Their bytes: the peer decides how long a frame is. */
const RECEIVE_QUEUE_BYTES = MAXIMUM_FRAME_BYTES;
/** What a frame in a queue takes beside its own bytes. */
const QUEUED_FRAME_BYTES = 512;
/** Step of the error of a connection that was closed because it held the most. */
const HOLD_STEP = 'hold messages';
const NO_BYTES = Buffer.alloc(0);

interface Waiter {
  resolve(frame: Uint8Array | undefined): void;
  reject(error: Error): void;
}

/** Production {@link MessageConnection}. */
export class NodeMessageConnection implements MessageConnection, MemoryHolder {
  readonly peer: string;
  readonly closed: Promise<void>;
  private readonly reader = new FrameReader();
  private readonly received: Uint8Array[] = [];
  private receivedBytes = 0;
  private queuedFrames = 0;
  private waiter: Waiter | undefined;
  private failure: ConnectionError | undefined;
  private ended = false;

  constructor(
    private readonly socket: Socket,
    private readonly memory: SharedMemory,
  ) {
    this.peer = `${socket.remoteAddress ?? 'unknown'}:${socket.remotePort ?? 0}`;
    socket.setNoDelay(true);
    this.closed = new Promise((resolve) => {
      socket.once('close', () => resolve());
    });
    memory.join(this);
    socket.once('close', () => memory.leave(this));
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
    const roomLeft = this.socket.write(frame, this.onWritten);
    this.socket.uncork();
    this.queuedFrames += 1;
    this.countHeld();
    if (!roomLeft) await this.drained();
  }

  receive(): Promise<Uint8Array | undefined> {
    const frame = this.received.shift();
    if (frame !== undefined) {
      this.receivedBytes -= frame.length;
      if (this.reader.hasRest) this.cut(NO_BYTES);
      else this.countHeld();
      if (!this.isQueueFull) this.socket.resume();
      return Promise.resolve(frame);
    }
    this.checkEnd();
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

  giveUp(): void {
    this.received.length = 0;
    this.receivedBytes = 0;
    this.reader.drop();
    this.fail(HOLD_STEP, new Error('the message connections of this process hold too much'));
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
    this.cut(chunk);
    if (this.isQueueFull) this.socket.pause();
  }

  /** Cuts as many frames as the queue takes: of empty ones, a chunk holds thousands. */
  private cut(chunk: Buffer): void {
    const room = RECEIVE_QUEUE_FRAMES - this.received.length;
    try {
      for (const frame of this.reader.push(chunk, room)) this.deliver(frame);
    } catch (error) {
      this.fail(READ_FRAME_STEP, error);
    }
    this.countHeld();
  }

  private get isQueueFull(): boolean {
    return (
      this.received.length >= RECEIVE_QUEUE_FRAMES || this.receivedBytes >= RECEIVE_QUEUE_BYTES
    );
  }

  private readonly onWritten = (): void => {
    this.queuedFrames -= 1;
    this.countHeld();
  };

  private countHeld(): void {
    const frames = this.received.length + this.queuedFrames;
    const bytes = this.reader.heldBytes + this.receivedBytes + this.socket.writableLength;
    this.memory.update(this, bytes + frames * QUEUED_FRAME_BYTES);
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
    this.ended = true;
    this.checkEnd();
    this.socket.destroy();
    this.waiter?.resolve(undefined);
    this.waiter = undefined;
  }

  /** A stream that ended in a frame has failed, which shows once all bytes before are cut. */
  private checkEnd(): void {
    if (!this.ended || this.reader.hasRest || this.reader.atFrameBoundary) return;
    this.fail('receive', new Error('connection cut in a frame'));
  }

  private fail(step: string, cause: unknown): void {
    const reason = cause instanceof Error ? cause.message : String(cause);
    this.failure ??= new ConnectionError(step, this.peer, reason, cause);
    this.waiter?.reject(this.failure);
    this.waiter = undefined;
    this.socket.destroy();
  }
}
