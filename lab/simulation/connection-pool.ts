/** The connections of an HTTP client to one peer, and the requests that wait for one. */
import type { HttpClientErrorKind } from '../../src/errors/http-client-error.js';
import type { Address } from '../../src/seams/address.js';
import type { HttpClientOptions } from '../../src/seams/http.js';
import { EventKind } from './event-queue.js';
import type { NetworkFabric, NetworkNode } from './network-fabric.js';
import type { PendingRequest } from './pending-request.js';
import { PooledConnection } from './pooled-connection.js';
import type { ProcessLife } from './process-life.js';

/** undici keeps one second below the five that Node's server announces. Milliseconds. */
const LONGEST_KEEP_ALIVE = 4_000;

/** Where the connections of a pool go, and for whom. */
export interface PoolTarget {
  readonly fabric: NetworkFabric;
  readonly node: NetworkNode;
  readonly life: ProcessLife;
  readonly address: Address;
  readonly options: HttpClientOptions;
}

/** See the module comment. */
export class ConnectionPool {
  private readonly connections = new Set<PooledConnection>();
  private readonly waiting: PendingRequest[] = [];
  private closing = false;
  private sweepScheduled = false;
  private onEmpty: (() => void) | undefined;
  private readonly keepAliveTimeout: number;

  constructor(
    readonly target: PoolTarget,
    /** Whether a connection carries further requests after its first. */
    readonly reuse: boolean,
  ) {
    this.keepAliveTimeout = Math.min(target.options.keepAliveTimeout, LONGEST_KEEP_ALIVE);
  }

  /** Sends a request on an idle connection, or on a new one, or once one is free. */
  place(pending: PendingRequest): void {
    this.boundConnecting(pending);
    if (this.closing) {
      pending.fail('connect_failed', new Error('the client is closed'));
      return;
    }
    this.assignOrWait(pending);
  }

  /** Gives up a request; closes its connection if it was sent. */
  abort(pending: PendingRequest): void {
    this.giveUp(pending, 'aborted', pending.request.signal?.reason);
  }

  private boundConnecting(pending: PendingRequest): void {
    const { connectWithin } = pending.request;
    if (connectWithin === undefined) return;
    const { fabric, life } = this.target;
    fabric.events.schedule(connectWithin, EventKind.Timer, life, 0, () => {
      if (pending.sent) return;
      this.giveUp(pending, 'connect_failed', new Error('no connection in time'));
    });
  }

  private giveUp(pending: PendingRequest, kind: HttpClientErrorKind, cause: unknown): void {
    const { connection } = pending;
    pending.fail(kind, cause);
    if (connection !== undefined) {
      connection.abandon(pending);
      return;
    }
    const index = this.waiting.indexOf(pending);
    if (index >= 0) this.waiting.splice(index, 1);
  }

  /** Closes idle connections, and the others as they finish. */
  async close(): Promise<void> {
    this.closing = true;
    for (const connection of [...this.connections]) if (connection.idle) connection.close();
    if (this.connections.size === 0) return;
    await new Promise<void>((resolve) => {
      this.onEmpty = resolve;
    });
  }

  /** Closes all connections; requests in flight and waiting fail. */
  destroy(): void {
    this.closing = true;
    const waiting = this.waiting.splice(0);
    for (const pending of waiting) pending.fail('connect_failed', new Error('destroyed'));
    for (const connection of [...this.connections]) connection.destroy();
  }

  /** Called by a connection that can take a request. */
  onIdle(connection: PooledConnection): void {
    const next = this.waiting.shift();
    if (next !== undefined) this.assignOrWait(next);
    else if (this.closing) connection.close();
    else this.scheduleSweep();
  }

  /** Called by a connection that is gone. */
  onGone(connection: PooledConnection): void {
    this.connections.delete(connection);
    const next = this.waiting.shift();
    if (next !== undefined) this.openFor(next);
    if (this.closing && this.connections.size === 0) this.onEmpty?.();
  }

  private openFor(pending: PendingRequest): void {
    const connection = new PooledConnection(this);
    this.connections.add(connection);
    pending.connection = connection;
    connection.open(pending);
  }

  private assign(pending: PendingRequest, connection: PooledConnection): void {
    pending.connection = connection;
    connection.carry(pending);
  }

  private assignOrWait(pending: PendingRequest): void {
    const idle = this.findIdle(pending);
    if (idle !== undefined) {
      this.assign(pending, idle);
      return;
    }
    if (this.isFull) this.closeIdle();
    if (this.isFull) this.waiting.push(pending);
    else this.openFor(pending);
  }

  private get isFull(): boolean {
    return this.connections.size >= this.target.options.connections;
  }

  /** Makes room for a request that no idle connection may carry. */
  private closeIdle(): void {
    const idle = [...this.connections].find((connection) => connection.idle);
    idle?.close();
  }

  private findIdle(pending: PendingRequest): PooledConnection | undefined {
    for (const connection of [...this.connections]) {
      if (!connection.idle || !connection.mayCarry(pending)) continue;
      if (connection.idleFor < this.keepAliveTimeout) return connection;
      // Its time is up though no sweep came by yet; the server may be closing it just now.
      connection.close();
    }
    return undefined;
  }

  private scheduleSweep(): void {
    if (this.sweepScheduled) return;
    this.sweepScheduled = true;
    const { fabric, life } = this.target;
    fabric.events.schedule(this.keepAliveTimeout, EventKind.Timer, life, 0, () => {
      this.sweepScheduled = false;
      this.sweep();
    });
  }

  private sweep(): void {
    let idleLeft = false;
    for (const connection of [...this.connections]) {
      if (!connection.idle) continue;
      if (connection.idleFor >= this.keepAliveTimeout) connection.close();
      else idleLeft = true;
    }
    if (idleLeft) this.scheduleSweep();
  }
}
