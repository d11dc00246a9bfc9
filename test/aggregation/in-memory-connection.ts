/** A message connection between two ends in the same process, for tests. */
import { MAXIMUM_FRAME_BYTES, type MessageConnection } from '../../src/seams/message-connection.js';

/** One end of a connection; frames sent on it arrive at the other end. */
export class InMemoryConnection implements MessageConnection {
  readonly peer = 'in memory';
  readonly queuedBytes = 0;
  maximumFrameBytes = MAXIMUM_FRAME_BYTES;
  readonly closed: Promise<void>;
  private readonly frames: Uint8Array[] = [];
  private other: InMemoryConnection | undefined;
  private wake: (() => void) | undefined;
  private isClosed = false;
  private resolveClosed!: () => void;

  private constructor() {
    this.closed = new Promise((resolve) => {
      this.resolveClosed = resolve;
    });
  }

  /** Creates a connection and returns both ends. */
  static pair(): readonly [InMemoryConnection, InMemoryConnection] {
    const [left, right] = [new InMemoryConnection(), new InMemoryConnection()];
    left.other = right;
    right.other = left;
    return [left, right];
  }

  send(frame: Uint8Array): Promise<void> {
    this.other?.deliver(frame);
    return Promise.resolve();
  }

  async receive(): Promise<Uint8Array | undefined> {
    while (this.frames.length === 0 && !this.isClosed) {
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
    return this.frames.shift();
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.resolveClosed();
    this.wake?.();
    this.other?.close();
  }

  private deliver(frame: Uint8Array): void {
    if (this.isClosed) return;
    this.frames.push(frame);
    this.wake?.();
  }
}
