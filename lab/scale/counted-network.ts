/** A network that counts the bytes of framed messages, frame headers included, TCP and IP not. */
import { FRAME_HEADER_BYTES } from '../../src/node/frame-reader.js';
import { NodeNetwork } from '../../src/node/node-network.js';
import type { Address } from '../../src/seams/address.js';
import type { MessageConnection, MessageListener } from '../../src/seams/message-connection.js';

/** Framed messages of one process so far. */
export interface MessageCounts {
  sentBytes: number;
  receivedBytes: number;
  sentFrames: number;
  receivedFrames: number;
  /** Connections that were opened or accepted. */
  connections: number;
}

class CountedConnection implements MessageConnection {
  constructor(
    private readonly inner: MessageConnection,
    private readonly counts: MessageCounts,
  ) {
    counts.connections += 1;
  }

  get peer(): string {
    return this.inner.peer;
  }

  get maximumFrameBytes(): number {
    return this.inner.maximumFrameBytes;
  }

  set maximumFrameBytes(bytes: number) {
    this.inner.maximumFrameBytes = bytes;
  }

  get queuedBytes(): number {
    return this.inner.queuedBytes;
  }

  get closed(): Promise<void> {
    return this.inner.closed;
  }

  send(frame: Uint8Array): Promise<void> {
    this.counts.sentBytes += frame.length + FRAME_HEADER_BYTES;
    this.counts.sentFrames += 1;
    return this.inner.send(frame);
  }

  async receive(): Promise<Uint8Array | undefined> {
    const frame = await this.inner.receive();
    if (frame === undefined) return undefined;
    this.counts.receivedBytes += frame.length + FRAME_HEADER_BYTES;
    this.counts.receivedFrames += 1;
    return frame;
  }

  close(): void {
    this.inner.close();
  }
}

/** The operating system's network with counters. */
export class CountedNetwork extends NodeNetwork {
  readonly counts: MessageCounts = {
    sentBytes: 0,
    receivedBytes: 0,
    sentFrames: 0,
    receivedFrames: 0,
    connections: 0,
  };

  override listenMessages(
    address: Address,
    onConnection: (connection: MessageConnection) => Promise<void>,
  ): Promise<MessageListener> {
    return super.listenMessages(address, (connection) =>
      onConnection(new CountedConnection(connection, this.counts)),
    );
  }

  override async connectMessages(peer: Address, timeout: number): Promise<MessageConnection> {
    return new CountedConnection(await super.connectMessages(peer, timeout), this.counts);
  }
}
