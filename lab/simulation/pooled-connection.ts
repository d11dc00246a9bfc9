/** One connection of an HTTP client: opening, idle, or carrying one request. */
import { formatAddress } from '../../src/seams/address.js';
import { MICROSECONDS_PER_MILLISECOND } from './event-queue.js';
import {
  headerBytes,
  lowerCaseNames,
  toBytes,
  type WireRequest,
  type WireResponse,
} from './http-messages.js';
import type { ConnectFailure } from './network-fabric.js';
import type { ConnectionPool } from './connection-pool.js';
import type { PendingRequest } from './pending-request.js';
import { SimulatedSocket, type SocketHandlers } from './simulated-socket.js';

/** See the module comment. */
export class PooledConnection implements SocketHandlers {
  private socket: SimulatedSocket | undefined;
  private pending: PendingRequest | undefined;
  private idleSince = 0;
  private gone = false;
  /** Ids of the requests that it has carried. */
  private readonly carriedIds = new Set<string>();

  constructor(private readonly pool: ConnectionPool) {}

  get idle(): boolean {
    return this.socket !== undefined && this.pending === undefined && !this.gone;
  }

  /** How long it has been idle. Milliseconds. */
  get idleFor(): number {
    return (this.pool.target.fabric.events.now - this.idleSince) / MICROSECONDS_PER_MILLISECOND;
  }

  /** A connection carries a request of each id once. */
  mayCarry({ request }: PendingRequest): boolean {
    return request.requestId === undefined || !this.carriedIds.has(request.requestId);
  }

  /** Connects, then carries `pending`. */
  open(pending: PendingRequest): void {
    const { fabric, node, life, address, options } = this.pool.target;
    this.pending = pending;
    fabric.connect(node, life, address, options.connectTimeout, (result) => {
      if (result instanceof SimulatedSocket) this.onConnected(result);
      else this.onConnectFailed(result);
    });
  }

  /** Sends a request. Only when idle. */
  carry(pending: PendingRequest): void {
    const { request } = pending;
    const body = toBytes(request.body);
    const headers = lowerCaseNames(request.headers);
    headers['host'] ??= formatAddress(this.pool.target.address);
    if (body.length > 0) headers['content-length'] = String(body.length);
    const wire: WireRequest = { method: request.method, target: request.path, headers, body };
    this.pending = pending;
    if (request.requestId !== undefined) this.carriedIds.add(request.requestId);
    pending.markSent();
    this.socket?.send(wire, headerBytes(headers) + request.path.length + body.length);
  }

  /** Gives up `pending`, which closes the connection if it was sent. */
  abandon(pending: PendingRequest): void {
    if (this.pending !== pending) return;
    this.pending = undefined;
    if (pending.sent) this.close();
  }

  /** Closes an idle connection, or one whose request was given up. */
  close(): void {
    this.socket?.end();
    this.markGone();
  }

  /** Closes at once and fails the request it carries. */
  destroy(): void {
    const { pending } = this;
    this.pending = undefined;
    this.socket?.end();
    this.markGone();
    pending?.fail(pending.sent ? 'connection_lost' : 'connect_failed', new Error('destroyed'));
  }

  onData(payload: unknown): void {
    const response = payload as WireResponse;
    const { pending } = this;
    if (pending === undefined) return;
    this.pending = undefined;
    if (pending.request.acceptResponse?.(response.headers) === false) {
      this.close();
      pending.fail('response_rejected');
      return;
    }
    const isAccepted = pending.request.acceptBytes?.(response.body.length) ?? true;
    if (response.body.length > this.pool.target.options.maximumResponseBytes || !isAccepted) {
      this.close();
      pending.fail('response_too_large');
      return;
    }
    if (response.truncated) {
      this.close();
      pending.fail('response_truncated', new Error('response cut short'));
      return;
    }
    const { status, headers, body } = response;
    pending.succeed({ status, headers, body });
    if (response.lastOfConnection || !this.pool.reuse) this.close();
    else this.becomeIdle();
  }

  onEnd(): void {
    this.onLost('other side closed');
  }

  onReset(): void {
    this.onLost('connection reset');
  }

  private onConnected(socket: SimulatedSocket): void {
    if (this.gone) {
      socket.end();
      return;
    }
    socket.handle(this);
    this.socket = socket;
    if (this.pending === undefined) this.becomeIdle();
    else this.carry(this.pending);
  }

  private onConnectFailed(failure: ConnectFailure): void {
    const { pending } = this;
    this.pending = undefined;
    this.markGone();
    pending?.fail('connect_failed', new Error(`connection ${failure.replace('_', ' ')}`));
  }

  private onLost(reason: string): void {
    const { pending } = this;
    this.pending = undefined;
    this.markGone();
    pending?.fail('connection_lost', new Error(reason));
  }

  private becomeIdle(): void {
    this.idleSince = this.pool.target.fabric.events.now;
    this.pool.onIdle(this);
  }

  private markGone(): void {
    if (this.gone) return;
    this.gone = true;
    this.pool.onGone(this);
  }
}
