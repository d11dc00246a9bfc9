/** Serves whole requests over simulated sockets, with the bounds and errors of the Node listener. */
import type { Address } from '../../src/seams/address.js';
import {
  DEFAULT_IDLE_TIMEOUT,
  type HttpHandler,
  type HttpListenOptions,
  type HttpListener,
  type HttpRequest,
  type HttpResponse,
} from '../../src/seams/http.js';
import { EventKind, type EventQueue, type ScheduledEvent } from './event-queue.js';
import {
  headerBytes,
  lowerCaseNames,
  toBytes,
  type WireRequest,
  type WireResponse,
} from './http-messages.js';
import { never, type ProcessLife } from './process-life.js';
import type { NetworkNode, PortListener } from './network-fabric.js';
import type { SimulatedSocket, SocketHandlers } from './simulated-socket.js';

const STATUS_PAYLOAD_TOO_LARGE = 413;
const STATUS_HEADERS_TOO_LARGE = 431;
const STATUS_INTERNAL_ERROR = 500;

function errorResponse(status: number, code: string, message: string): HttpResponse {
  return {
    status,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ error: { code, message, mayHaveRun: false } }),
  };
}

/** One accepted connection. */
class ServerConnection implements SocketHandlers {
  private gone: AbortController | undefined;
  private idleTimer: ScheduledEvent | undefined;
  private used = false;

  constructor(
    private readonly listener: SimulatedHttpListener,
    private readonly socket: SimulatedSocket,
  ) {
    socket.handle(this);
    this.watchIdle();
  }

  get idle(): boolean {
    return this.gone === undefined;
  }

  close(): void {
    this.socket.end();
    this.detach();
  }

  onData(payload: unknown): void {
    if (this.idleTimer !== undefined) this.idleTimer.cancelled = true;
    const gone = new AbortController();
    this.gone = gone;
    void this.serve(payload as WireRequest, gone);
  }

  onEnd(): void {
    this.detach();
    this.gone?.abort(new Error('caller gone'));
  }

  onReset(): void {
    this.onEnd();
  }

  private async serve(request: WireRequest, gone: AbortController): Promise<void> {
    const { options, handler } = this.listener;
    if (headerBytes(request.headers) > options.maximumHeaderBytes) {
      this.write({ status: STATUS_HEADERS_TOO_LARGE, body: '' }, true);
      return;
    }
    if (request.body.length > options.maximumBodyBytes) {
      const message = 'the body is too large';
      this.write(errorResponse(STATUS_PAYLOAD_TOO_LARGE, 'bad_request', message), true);
      return;
    }
    try {
      this.write(await handler(this.toRequest(request, gone.signal)), false);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      this.write(errorResponse(STATUS_INTERNAL_ERROR, 'failed', reason), false);
    }
  }

  private toRequest(request: WireRequest, signal: AbortSignal): HttpRequest {
    const { target } = request;
    const newConnection = !this.used;
    this.used = true;
    const separator = target.indexOf('?');
    return {
      method: request.method,
      path: separator < 0 ? target : target.slice(0, separator),
      query: new URLSearchParams(separator < 0 ? '' : target.slice(separator + 1)),
      target,
      headers: request.headers,
      body: request.body,
      signal,
      remoteAddress: this.socket.remoteHost,
      newConnection,
    };
  }

  private write(content: HttpResponse, last: boolean): void {
    if (!this.socket.open || !this.socket.life.alive) return;
    this.gone = undefined;
    if (content.closeAfterBytes === 0) {
      this.close();
      return;
    }
    const body = toBytes(content.body);
    const headers = lowerCaseNames(content.headers);
    headers['content-length'] = String(body.length);
    const truncated = content.closeAfterBytes !== undefined;
    const close = last || this.listener.closing;
    if (close) headers['connection'] = 'close';
    const lastOfConnection = truncated || headers['connection'] === 'close';
    const response: WireResponse = {
      status: content.status,
      headers,
      body,
      lastOfConnection,
      truncated,
    };
    this.socket.send(response, headerBytes(headers) + body.length);
    if (!truncated) content.onWritten?.();
    if (lastOfConnection) this.close();
    else this.watchIdle();
  }

  private watchIdle(): void {
    this.idleTimer = this.listener.events.schedule(
      this.listener.idleTimeout,
      EventKind.Timer,
      this.socket.life,
      0,
      () => this.close(),
    );
  }

  private detach(): void {
    if (this.idleTimer !== undefined) this.idleTimer.cancelled = true;
    this.listener.remove(this);
  }
}

/** See the module comment. */
export class SimulatedHttpListener implements HttpListener, PortListener {
  closing = false;
  idleTimeout: number;
  private readonly connections = new Set<ServerConnection>();
  private onEmpty: (() => void) | undefined;

  constructor(
    readonly events: EventQueue,
    private readonly node: NetworkNode,
    readonly life: ProcessLife,
    readonly address: Address,
    readonly options: HttpListenOptions,
    readonly handler: HttpHandler,
  ) {
    this.idleTimeout = options.idleTimeout ?? DEFAULT_IDLE_TIMEOUT;
  }

  setIdleTimeout(milliseconds: number): void {
    this.idleTimeout = milliseconds;
  }

  accept(socket: SimulatedSocket): void {
    if (this.connections.size >= this.options.maximumConnections) {
      socket.reset();
      return;
    }
    this.connections.add(new ServerConnection(this, socket));
  }

  remove(connection: ServerConnection): void {
    this.connections.delete(connection);
    if (this.connections.size === 0) this.onEmpty?.();
  }

  async close(): Promise<void> {
    if (!this.life.alive) return never();
    this.closing = true;
    if (this.node.listeners.get(this.address.port) === this) {
      this.node.listeners.delete(this.address.port);
    }
    for (const connection of [...this.connections]) if (connection.idle) connection.close();
    if (this.connections.size === 0) return;
    await new Promise<void>((resolve) => {
      this.onEmpty = resolve;
    });
  }
}
