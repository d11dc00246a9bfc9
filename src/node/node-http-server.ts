/**
 * Serves whole requests over Node's `http`, with every bound enforced before the
 * handler. A caller that sends slowly, sends nothing, sends too much or does not
 * read what it asked for costs bounded memory for a bounded time, and gets a
 * typed error where an answer can still reach it.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type AddressInfo, type Socket } from 'node:net';
import type { Address } from '../seams/address.js';
import {
  DEFAULT_IDLE_TIMEOUT,
  type HttpHandler,
  type HttpListenOptions,
  type HttpListener,
  type HttpRequest,
  type HttpResponse,
} from '../seams/http.js';
import { bindServer } from './bind-server.js';
import { ByteBudget } from './byte-budget.js';
import type { BlockPool } from './block-pool.js';
import { CallerConnection, type CallerConnectionListener } from './caller-connection.js';
import {
  bodyRefusedResponse,
  brokenRequestResponse,
  handlerFailedResponse,
  noMemoryResponse,
  writeRawResponse,
} from './listener-errors.js';
import { divideMemory } from './memory-budgets.js';
import { ParsingTurns } from './parsing-turns.js';
import { availableMemory } from './process-memory.js';
import { toRequest } from './received-request.js';
import { ReceiveMemory } from './receive-memory.js';
import { announcesTooMuch, BodyRefusedError, readBody, type ReceivedBody } from './request-body.js';
import { SharedMemory } from './shared-memory.js';
import { UntakenResponses } from './untaken-responses.js';

/** How often Node looks for requests that outlasted their time, at most. Milliseconds. */
const CONNECTION_CHECK_INTERVAL = 1_000;
/** How long a refused caller may go on sending before its connection is closed. Milliseconds. */
const LINGER = 1_000;
/** A caller may take a response as slowly as this, after its first `requestTimeout`. Bytes per ms. */
const MINIMUM_READ_RATE = 64;
/** Reported for a connection that was closed past its byte limit; no response is written. */
const ENDLESS_REQUEST_STATUS = 400;
/** See {@link HttpListenOptions.maximumBufferedBytes}. */
const DEFAULT_BUFFERED_BYTES = 268_435_456;

/**
 * Node's listeners on a socket hold every request that was sent ahead over it, and a request that is still
 * served holds the socket. Call when the socket is closed.
 */
function releaseUnserved(socket: Socket): void {
  process.nextTick(() => socket.removeAllListeners());
}

/** Resolves once all sockets were polled after the call. */
function socketsPolled(): Promise<void> {
  // The first immediate may end a poll that began before the call.
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)));
}

class NodeHttpListener implements HttpListener, CallerConnectionListener {
  readonly address: Address;
  private closing = false;
  private readonly connections = new Map<Socket, CallerConnection>();
  private readonly turns = new ParsingTurns();

  constructor(
    private readonly server: Server,
    private readonly options: HttpListenOptions,
    private readonly handler: HttpHandler,
    host: string,
    private readonly memory: ReceiveMemory,
    private readonly untaken: UntakenResponses,
    private readonly unserved: SharedMemory,
    private readonly minimumReadRate: number,
  ) {
    this.address = { host, port: (server.address() as AddressInfo).port };
    const serve = (message: IncomingMessage, response: ServerResponse): void =>
      void this.serve(message, response);
    server.on('connection', (socket) => this.connectionOf(socket));
    server.on('request', serve);
    server.on('checkExpectation', serve);
    server.on('checkContinue', (message, response) => {
      if (!announcesTooMuch(message, options.maximumBodyBytes)) response.writeContinue();
      serve(message, response);
    });
    server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.refuseBroken(socket as Socket, error.code),
    );
  }

  setIdleTimeout(milliseconds: number): void {
    this.server.keepAliveTimeout = milliseconds;
  }

  /** What has arrived is accepted and read first: its sender couldn't know that it was not read. */
  async close(): Promise<void> {
    this.closing = true;
    await socketsPolled();
    const closed = new Promise<void>((resolve) => {
      // HTTP's own close would cut responses short and stop looking for slow senders.
      NetServer.prototype.close.call(this.server, () => {
        this.server.close();
        resolve();
      });
    });
    await socketsPolled();
    for (const connection of this.connections.values()) connection.closeWhenIdle();
    await closed;
  }

  private connectionOf(socket: Socket): CallerConnection {
    const known = this.connections.get(socket);
    if (known !== undefined) return known;
    const connection = new CallerConnection(socket, this.options, this.unserved, this.turns, this);
    this.connections.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(socket);
      releaseUnserved(socket);
    });
    return connection;
  }

  /** Never rejects: an error in serving a request closes its connection only. */
  private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await this.serveInTurn(message, response);
    } catch {
      message.socket.destroy();
    }
  }

  private async serveInTurn(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const connection = this.connectionOf(message.socket);
    await connection.takeTurn(response);
    const body = await this.receive(message, response);
    if (body === undefined) return;
    try {
      await this.handle(connection, message, body.bytes, response);
    } finally {
      body.lease.close();
    }
  }

  /** The body; undefined when it was refused or the connection ended. */
  private async receive(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<ReceivedBody | undefined> {
    try {
      return await readBody(message, this.options.maximumBodyBytes, this.memory);
    } catch (error) {
      if (error instanceof BodyRefusedError) {
        this.refuseBody(message, response, bodyRefusedResponse(error.refusal));
      }
      return undefined;
    }
  }

  private async handle(
    connection: CallerConnection,
    message: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    if (message.socket.destroyed || connection.isRefused) return;
    const newConnection = !connection.isUsed;
    const request = connection.beginRequest();
    const { signal } = request;
    const content = await this.respond({ ...toRequest(message, body), signal, newConnection });
    connection.endRequest(request);
    try {
      this.write(message.socket, response, content);
    } catch (error) {
      this.writeFailure(message.socket, response, error);
    }
  }

  /** Replaces a response that Node refuses to write, such as one with an invalid character in a header. */
  private writeFailure(socket: Socket, response: ServerResponse, error: unknown): void {
    for (const name of response.getHeaderNames()) response.removeHeader(name);
    const reason = error instanceof Error ? error.message : String(error);
    const content = handlerFailedResponse(`the response cannot be written: ${reason}`);
    this.write(socket, response, content);
  }

  private async respond(request: HttpRequest): Promise<HttpResponse> {
    try {
      return await this.handler(request);
    } catch (error) {
      return handlerFailedResponse(error instanceof Error ? error.message : String(error));
    }
  }

  /** Answers at once; what the caller still sends is read and forgotten for a while. */
  private refuseBody(
    message: IncomingMessage,
    response: ServerResponse,
    content: HttpResponse,
  ): void {
    if (!this.canWrite(message.socket, response)) return;
    this.connectionOf(message.socket).isRefused = true;
    const end = (): void => {
      clearTimeout(timer);
      response.end();
    };
    const timer = setTimeout(end, LINGER);
    message.once('close', end);
    message.resume();
    this.tellRefused(message.socket, content.status);
    const body = Buffer.from(content.body);
    response.writeHead(content.status, { ...content.headers, 'content-length': body.length });
    response.write(body);
  }

  /** Bytes that are no request, or not in time; also called for connections that broke. */
  private refuseBroken(socket: Socket, code: string | undefined): void {
    const connection = this.connectionOf(socket);
    // An error written now would be taken for the answer to a request that is still served.
    const canAnswer = socket.writable && !connection.isBusy && socket.writableLength === 0;
    if (connection.isRefused) return;
    if (!canAnswer) {
      socket.destroy();
      return;
    }
    connection.isRefused = true;
    const content = brokenRequestResponse(code);
    this.tellRefused(socket, content.status);
    socket.end(writeRawResponse(content));
    const timer = setTimeout(() => socket.destroy(), LINGER);
    socket.once('close', () => clearTimeout(timer));
  }

  /** Closes a connection past its byte limit, unless the caller was refused and is still read for a while. */
  onTooManyBytes({ socket, isRefused }: CallerConnection): void {
    if (isRefused || socket.destroyed) return;
    this.tellRefused(socket, ENDLESS_REQUEST_STATUS);
    socket.destroy();
  }

  /** Closes a connection whose unserved requests hold the most, when all together hold too much. */
  onGivenUp(connection: CallerConnection): void {
    const { socket } = connection;
    if (socket.destroyed || connection.dropAhead()) return;
    const canAnswer = socket.writable && !connection.hasUnanswered && socket.writableLength === 0;
    const content = noMemoryResponse();
    if (!connection.isRefused) this.tellRefused(socket, content.status);
    if (!canAnswer || connection.isRefused) {
      socket.destroy();
      return;
    }
    connection.isRefused = true;
    connection.stopReading();
    socket.end(writeRawResponse(content), () => socket.destroy());
  }

  private tellRefused(socket: Socket, status: number): void {
    this.options.onRefused?.({ status, remoteAddress: socket.remoteAddress ?? '' });
  }

  private canWrite(socket: Socket, response: ServerResponse): boolean {
    const isRefused = this.connections.get(socket)?.isRefused ?? true;
    return !isRefused && !response.destroyed && !response.headersSent;
  }

  private write(socket: Socket, response: ServerResponse, content: HttpResponse): void {
    if (!this.canWrite(socket, response)) return;
    const body = typeof content.body === 'string' ? Buffer.from(content.body) : content.body;
    const isLast = this.closing || this.connections.get(socket)?.endsAfterAnswer === true;
    if (isLast) response.setHeader('connection', 'close');
    if (content.closeAfterBytes === 0) {
      response.destroy();
      return;
    }
    response.writeHead(content.status, { ...content.headers, 'content-length': body.length });
    if (content.closeAfterBytes !== undefined) {
      response.write(body.subarray(0, content.closeAfterBytes), () => response.destroy());
      return;
    }
    response.end(body, content.onWritten);
    this.limitTaking(socket, response, body.length);
  }

  /** Gives the caller a bounded time to take the response, unless the system has it already. */
  private limitTaking(socket: Socket, response: ServerResponse, bytes: number): void {
    if (socket.writableLength === 0 || socket.destroyed) return;
    this.untaken.add(socket, bytes);
    const allowed = this.options.requestTimeout + bytes / this.minimumReadRate;
    const timer = setTimeout(() => socket.destroy(), allowed);
    response.once('close', () => {
      clearTimeout(timer);
      this.untaken.remove(socket);
    });
  }
}

/** What a listener shares with the process, and what tests set. */
export interface ListenerResources {
  /** For the requests of all listeners. */
  readonly requests?: ByteBudget;
  readonly blocks?: BlockPool;
  /** For what all callers have sent and nobody serves yet. */
  readonly unserved?: SharedMemory;
  /** Bytes per millisecond. */
  readonly minimumReadRate?: number;
}

/** Starts a listener; see `Network.listenHttp`. */
export async function listenHttp(
  address: Address,
  options: HttpListenOptions,
  handler: HttpHandler,
  { requests, blocks, unserved, minimumReadRate = MINIMUM_READ_RATE }: ListenerResources = {},
): Promise<HttpListener> {
  const { requestTimeout, maximumBufferedBytes = DEFAULT_BUFFERED_BYTES } = options;
  const server = createServer({
    maxHeaderSize: options.maximumHeaderBytes,
    requestTimeout,
    headersTimeout: requestTimeout,
    keepAliveTimeout: options.idleTimeout ?? DEFAULT_IDLE_TIMEOUT,
    connectionsCheckingInterval: Math.min(CONNECTION_CHECK_INTERVAL, requestTimeout),
    requireHostHeader: false,
    noDelay: true,
  });
  server.maxConnections = options.maximumConnections;
  await bindServer(server, address);
  const budget = new ByteBudget(maximumBufferedBytes, requests);
  return new NodeHttpListener(
    server,
    options,
    handler,
    address.host,
    new ReceiveMemory(budget, blocks),
    new UntakenResponses(budget),
    unserved ?? new SharedMemory(divideMemory(availableMemory()).unserved),
    minimumReadRate,
  );
}
