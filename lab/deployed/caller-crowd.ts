/** Callers that keep to no limit, all at one gateway, each over raw connections. */
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Address } from '../../src/seams/address.js';

/** What a caller of the crowd sends on a new connection. */
export interface CrowdCaller {
  /** Parts are sent one after the other as the connection takes them. */
  readonly parts: () => Iterable<Buffer>;
  /** Whether the caller reads what it is sent. */
  readonly reads: boolean;
  /** After this time the caller leaves and comes again on a new connection; it stays when absent. Milliseconds. */
  readonly leavesAfterMs?: number;
}

const POLL_MS = 20;

/** Number of connections that are open at a time; one that is closed is replaced by another. */
export class CallerCrowd {
  /** Connections that were opened so far. */
  opened = 0;
  private readonly sockets = new Set<Socket>();
  private isOver = false;

  constructor(
    private readonly address: Address,
    private readonly size: number,
    private readonly caller: CrowdCaller,
  ) {}

  /** Opens the connections. */
  start(): void {
    for (let count = 0; count < this.size; count += 1) this.open();
  }

  /** Resolves once as many connections were opened, and `bytes` were taken from those that are open. */
  async untilSent(opened: number, bytes: number): Promise<void> {
    while (this.opened < opened || this.takenBytes < bytes) await sleep(POLL_MS);
  }

  /** Closes all connections. */
  stop(): void {
    this.isOver = true;
    for (const socket of this.sockets) socket.destroy();
  }

  private get takenBytes(): number {
    let taken = 0;
    for (const { bytesWritten, writableLength } of this.sockets) {
      taken += bytesWritten - writableLength;
    }
    return taken;
  }

  private open(): void {
    if (this.isOver) return;
    this.opened += 1;
    const socket = connect({ ...this.address, noDelay: true });
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('connect', () => void this.send(socket));
    socket.once('close', () => {
      this.sockets.delete(socket);
      setTimeout(() => this.open(), POLL_MS);
    });
    const { leavesAfterMs } = this.caller;
    if (leavesAfterMs !== undefined) setTimeout(() => socket.destroy(), leavesAfterMs);
    if (this.caller.reads) socket.resume();
    else socket.pause();
  }

  private async send(socket: Socket): Promise<void> {
    for (const part of this.caller.parts()) {
      if (socket.destroyed) return;
      await new Promise((resolve) => socket.write(part, resolve));
    }
  }
}
