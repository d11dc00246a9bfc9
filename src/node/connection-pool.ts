/**
 * Connections to one peer, each with one request at a time. An open connection
 * that rests is always used before another one is opened, so that there are never
 * more of them than requests were in flight at once: peers bound how many they
 * accept, from all callers together.
 */
import type { Socket } from 'node:net';
import { Client, type Dispatcher, type buildConnector } from 'undici';
import { RecentRequestIds } from './recent-request-ids.js';

/** Handles one request, and tells when its connection is free again. */
export interface PooledHandler extends Dispatcher.DispatchHandler {
  /** Called once, after the last event of the request; `isWhole` is false when it failed. */
  onSettled: ((isWhole: boolean) => void) | undefined;
  /** Called instead of `onSettled` when the request is given up before it was written. */
  onAbandoned: (() => void) | undefined;
  /** Called once the request is written to the connection. */
  onWritten: (() => void) | undefined;
  /** Returns the bytes received on the connection that were handed to the parser. */
  readBytes: (() => number) | undefined;
  /** Called before received bytes are parsed. */
  onReadable(): void;
  /** Called after received bytes were parsed, unless they ended the request. */
  onParsed(): void;
}

/** Options of every connection. */
export interface ConnectionOptions extends Client.Options {
  readonly connect: buildConnector.connector;
}

/**
 * Options of one request. `servername` is of use with TLS alone; where it is absent, undici derives it from the
 * Host header of each request.
 */
export interface RequestOptions extends Dispatcher.DispatchOptions {
  readonly servername: string;
}

/** A request to send. */
export interface PooledRequest {
  readonly options: RequestOptions;
  readonly handler: PooledHandler;
  /** Fingerprint of the request's id; undefined where responses name no id. */
  readonly fingerprint: number | undefined;
}

/** One connection, opened when it is first needed and again after it closed. */
class PooledConnection {
  isOpen = false;
  requests = 0;
  /** The request that the connection carries. */
  handler: PooledHandler | undefined;
  /** Requests sent on the open connection. */
  readonly carried = new RecentRequestIds();
  readonly client: Client;
  private socket: Socket | undefined;

  constructor(
    origin: string,
    options: ConnectionOptions,
    onUnusable: (self: PooledConnection) => void,
  ) {
    const connect: buildConnector.connector = (target, callback) =>
      options.connect(target, (...[error, socket]) => {
        if (error !== null) {
          callback(error, null);
          return;
        }
        this.watch(socket);
        callback(null, socket);
      });
    this.client = new Client(origin, { ...options, connect });
    this.client.on('connect', () => {
      this.isOpen = true;
      // undici has added its listener by now, so this one is called after it.
      this.socket?.on('readable', () => this.handler?.onParsed());
    });
    this.client.on('disconnect', () => (this.isOpen = false));
    this.client.on('connectionError', () => onUnusable(this));
  }

  get isResting(): boolean {
    return this.isOpen && this.requests === 0;
  }

  /** Bytes received on the open connection that were handed to the parser. */
  get readBytes(): number {
    const { socket } = this;
    return socket === undefined ? 0 : socket.bytesRead - socket.readableLength;
  }

  /** undici adds its own listener once it has the socket, so this one is called first. */
  private watch(socket: Socket): void {
    this.socket = socket;
    this.carried.clear();
    socket.on('readable', () => this.handler?.onReadable());
  }
}

/** See the module comment. */
export class ConnectionPool {
  private connections: PooledConnection[] = [];
  private readonly waiting: PooledRequest[] = [];

  constructor(
    private readonly origin: string,
    /** Most connections at once; further requests wait. */
    private readonly maximumConnections: number,
    private readonly options: ConnectionOptions,
  ) {}

  dispatch(request: PooledRequest): void {
    const connection = this.freeConnection(request);
    if (connection === undefined) this.waitWith(request);
    else this.dispatchOn(connection, request);
  }

  /** Resolves once every request has its answer. */
  async close(): Promise<void> {
    this.dispatchWaiting();
    await Promise.all(this.connections.map(({ client }) => client.close()));
  }

  /** Cuts off every request. */
  async destroy(): Promise<void> {
    this.dispatchWaiting();
    await Promise.all(this.connections.map(({ client }) => client.destroy()));
  }

  private freeConnection({ fingerprint }: PooledRequest): PooledConnection | undefined {
    const free = this.connections.filter(({ requests }) => requests === 0);
    const usable = free.filter(
      ({ carried }) => fingerprint === undefined || !carried.has(fingerprint),
    );
    const best = usable.find(({ isResting }) => isResting) ?? usable[0];
    if (best !== undefined) return best;
    if (this.connections.length < this.maximumConnections) return this.addConnection();
    const [replaced] = free;
    return replaced === undefined ? undefined : this.replace(replaced);
  }

  /** Closes a connection that is free but not usable, which makes room for another. */
  private replace(connection: PooledConnection): PooledConnection {
    this.remove(connection);
    void connection.client.destroy();
    return this.addConnection();
  }

  private addConnection(): PooledConnection {
    const connection = new PooledConnection(this.origin, this.options, (unusable) =>
      this.remove(unusable),
    );
    this.connections.push(connection);
    return connection;
  }

  private dispatchOn(connection: PooledConnection, request: PooledRequest): void {
    const { options, handler, fingerprint } = request;
    connection.requests += 1;
    if (fingerprint !== undefined) handler.onWritten = () => connection.carried.add(fingerprint);
    connection.handler = handler;
    handler.readBytes = () => connection.readBytes;
    handler.onSettled = (isWhole): void => {
      if (isWhole) this.release(connection);
      else this.releaseAfterFailure(connection);
    };
    handler.onAbandoned = (): void => this.releaseWhileOpening(connection);
    connection.client.dispatch(options, handler);
  }

  private waitWith(request: PooledRequest): void {
    this.waiting.push(request);
    request.handler.onAbandoned = (): void => {
      this.waiting.splice(this.waiting.indexOf(request), 1);
    };
  }

  /**
   * The next request waits for the same connection, so that a peer that accepts none
   * is not sent an opening for each request. One that may carry a single request is closed.
   */
  private releaseWhileOpening(connection: PooledConnection): void {
    if (this.options.pipelining === 0) {
      this.remove(connection);
      void connection.client.destroy();
    }
    this.release(connection);
  }

  /** The connection is free for what waits. */
  private release(connection: PooledConnection): void {
    connection.requests -= 1;
    connection.handler = undefined;
    const next = this.waiting.shift();
    if (next !== undefined) this.dispatch(next);
  }

  /**
   * undici tells of a failure in the middle of clearing its own queue, and takes
   * a request that is added meanwhile for an error of its own. So the connection
   * counts as in use until undici has returned.
   */
  private releaseAfterFailure(connection: PooledConnection): void {
    connection.isOpen = false;
    queueMicrotask(() => {
      this.closeIfUnneeded(connection);
      this.release(connection);
    });
  }

  /**
   * A request failed on it, so it is being closed. When the request was aborted,
   * undici opens it again at once, which spares the next request the wait; where
   * another connection rests open, that is not wanted.
   */
  private closeIfUnneeded(connection: PooledConnection): void {
    const another = this.connections.some((other) => other.isResting);
    if (!another) return;
    this.remove(connection);
    void connection.client.destroy();
  }

  /** Takes it out of use; undici itself still fails the requests on it. */
  private remove(connection: PooledConnection): void {
    this.connections = this.connections.filter((other) => other !== connection);
  }

  /** Nothing waits for a connection of a pool that ends. */
  private dispatchWaiting(): void {
    const [first] = this.connections;
    for (const waiting of this.waiting.splice(0)) {
      if (first !== undefined) this.dispatchOn(first, waiting);
    }
  }
}
