/** A message connection whose frames are counted. */
import { TrafficDirection, type TrafficNote } from '../observability/zone-traffic.js';
import type { MessageConnection } from '../seams/message-connection.js';

/** Bytes of the length that precedes each frame. */
const LENGTH_BYTES = 4;

/** How frames are counted. */
export interface FrameMeter {
  /** Kind of a frame by which it is counted. */
  readonly kindOf: (frame: Uint8Array) => string;
  readonly note: (note: TrafficNote) => void;
}

/** See the module comment. */
export class MeteredConnection implements MessageConnection {
  constructor(
    private readonly connection: MessageConnection,
    private readonly meter: FrameMeter,
  ) {}

  get peer(): string {
    return this.connection.peer;
  }

  get maximumFrameBytes(): number {
    return this.connection.maximumFrameBytes;
  }

  set maximumFrameBytes(bytes: number) {
    this.connection.maximumFrameBytes = bytes;
  }

  get queuedBytes(): number {
    return this.connection.queuedBytes;
  }

  get closed(): Promise<void> {
    return this.connection.closed;
  }

  send(frame: Uint8Array): Promise<void> {
    this.count(frame, TrafficDirection.Sent);
    return this.connection.send(frame);
  }

  async receive(): Promise<Uint8Array | undefined> {
    const frame = await this.connection.receive();
    if (frame !== undefined) this.count(frame, TrafficDirection.Received);
    return frame;
  }

  close(): void {
    this.connection.close();
  }

  private count(frame: Uint8Array, direction: TrafficDirection): void {
    const { kindOf, note } = this.meter;
    note({ kind: kindOf(frame), direction, bytes: frame.length + LENGTH_BYTES });
  }
}
