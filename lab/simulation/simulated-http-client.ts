/** Connections to one peer, one request at a time on each, with the behaviour of the Node client. */
import { HttpClientError, type HttpClientErrorKind } from '../../src/errors/http-client-error.js';
import { formatAddress, type Address } from '../../src/seams/address.js';
import type {
  HttpClient,
  HttpClientOptions,
  HttpClientRequest,
  HttpClientResponse,
} from '../../src/seams/http.js';
import { EventKind } from './event-queue.js';
import { PooledConnection } from './pooled-connection.js';
import { never, type ProcessLife } from './process-life.js';
import type { NetworkFabric, NetworkNode } from './network-fabric.js';

/** undici keeps one second below the five that Node's server announces. Milliseconds. */
const LONGEST_KEEP_ALIVE = 4_000;

/** A request from its call to its outcome. */
export class PendingRequest {
  sent = false;
  settled = false;
  connection: PooledConnection | undefined;

  constructor(
    readonly request: HttpClientRequest,
    private readonly peer: string,
    private readonly resolve: (response: HttpClientResponse) => void,
    private readonly reject: (error: HttpClientError) => void,
    private readonly onAbort: (pending: PendingRequest) => void,
  ) {
    request.signal?.addEventListener('abort', this.onSignal, { once: true });
  }

  succeed(response: HttpClientResponse): void {
    if (this.finish()) this.resolve(response);
  }

  fail(kind: HttpClientErrorKind, cause?: unknown): void {
    if (this.finish()) this.reject(new HttpClientError(kind, this.sent, this.peer, cause));
  }

  private finish(): boolean {
    if (this.settled) return false;
    this.settled = true;
    this.request.signal?.removeEventListener('abort', this.onSignal);
    return true;
  }

  private readonly onSignal = (): void => this.onAbort(this);
}

/** See the module comment. */
export class SimulatedHttpClient implements HttpClient {
  private readonly peer: string;
  private readonly connections = new Set<PooledConnection>();
  private waiting: PendingRequest[] = [];
  private closing = false;
  private sweepScheduled = false;
  private onEmpty: (() => void) | undefined;
  private readonly keepAliveTimeout: number;

  constructor(
    readonly fabric: NetworkFabric,
    readonly node: NetworkNode,
    readonly life: ProcessLife,
    readonly address: Address,
    readonly options: HttpClientOptions,
  ) {
    this.peer = formatAddress(address);
    this.keepAliveTimeout = Math.min(options.keepAliveTimeout, LONGEST_KEEP_ALIVE);
  }

  request(request: HttpClientRequest): Promise<HttpClientResponse> {
    if (!this.life.alive) return never();
    return new Promise((resolve, reject) => {
      if (request.signal?.aborted === true) {
        reject(new HttpClientError('aborted', false, this.peer, request.signal.reason));
        return;
      }
      const pending = new PendingRequest(request, this.peer, resolve, reject, (aborted) =>
        this.abort(aborted),
      );
      if (this.closing) pending.fail('connect_failed', new Error('the client is closed'));
      else this.place(pending);
    });
  }

  async close(): Promise<void> {
    if (!this.life.alive) return never();
    this.closing = true;
    this.closeIdle();
    if (this.connections.size === 0) return;
    await new Promise<void>((resolve) => {
      this.onEmpty = resolve;
    });
  }

  destroy(): void {
    if (!this.life.alive) return;
    this.closing = true;
    const { waiting } = this;
    this.waiting = [];
    for (const pending of waiting) pending.fail('connect_failed', new Error('destroyed'));
    for (const connection of [...this.connections]) connection.destroy();
  }

  /** Called by a connection that can take a request. */
  onIdle(connection: PooledConnection): void {
    const next = this.waiting.shift();
    if (next !== undefined) {
      this.assign(next, connection);
      return;
    }
    if (this.closing) connection.close();
    else this.scheduleSweep();
  }

  /** Called by a connection that is gone. */
  onGone(connection: PooledConnection): void {
    this.connections.delete(connection);
    if (this.closing && this.connections.size === 0 && this.waiting.length === 0) this.onEmpty?.();
    const next = this.waiting.shift();
    if (next !== undefined) this.place(next);
  }

  private place(pending: PendingRequest): void {
    const idle = this.findIdle();
    if (idle !== undefined && pending.request.freshConnection !== true) {
      this.assign(pending, idle);
      return;
    }
    if (this.connections.size >= this.options.connections) {
      if (idle === undefined) {
        this.waiting.push(pending);
        return;
      }
      idle.close();
    }
    const connection = new PooledConnection(this, this.options.maximumResponseBytes);
    this.connections.add(connection);
    pending.connection = connection;
    connection.open(pending);
  }

  private assign(pending: PendingRequest, connection: PooledConnection): void {
    if (pending.request.freshConnection === true && connection.used) {
      connection.close();
      this.place(pending);
      return;
    }
    pending.connection = connection;
    connection.carry(pending);
  }

  private findIdle(): PooledConnection | undefined {
    for (const connection of this.connections) if (connection.idle) return connection;
    return undefined;
  }

  private abort(pending: PendingRequest): void {
    const { connection } = pending;
    pending.fail('aborted', pending.request.signal?.reason);
    if (connection === undefined) this.waiting = this.waiting.filter((item) => item !== pending);
    else connection.abandon(pending);
  }

  private closeIdle(): void {
    for (const connection of [...this.connections]) if (connection.idle) connection.close();
  }

  private scheduleSweep(): void {
    if (this.sweepScheduled) return;
    this.sweepScheduled = true;
    this.fabric.events.schedule(this.keepAliveTimeout, EventKind.Timer, this.life, 0, () => {
      this.sweepScheduled = false;
      this.sweep();
    });
  }

  private sweep(): void {
    let left = false;
    for (const connection of [...this.connections]) {
      if (!connection.idle) continue;
      if (connection.idleFor >= this.keepAliveTimeout) connection.close();
      else left = true;
    }
    if (left) this.scheduleSweep();
  }
}
