/**
 * Requests to one peer over undici, one at a time on each connection. undici
 * itself never resends: a request that failed after it was written to a socket
 * is reported, not repeated.
 */
import { errors } from 'undici';
import { HttpClientError, type HttpClientErrorKind } from '../errors/http-client-error.js';
import { formatAddress, type Address } from '../seams/address.js';
import type {
  HttpClient,
  HttpClientOptions,
  HttpClientRequest,
  HttpClientResponse,
} from '../seams/http.js';
import { ConnectionPool, type ConnectionOptions, type PooledHandler } from './connection-pool.js';
import { requestFingerprint } from './recent-request-ids.js';
import { ParserMemory } from './parser-memory.js';
import { createResetAwareConnector } from './reset-aware-connector.js';
import { BodyCollector } from './body-collector.js';
import { ByteBudget } from './byte-budget.js';
import { ResponseByteLimit, ResponseByteLimitError } from './response-byte-limit.js';
import { ReceiveMemory, type ReceiveLease } from './receive-memory.js';

/** Statuses outside of these bounds are invalid (RFC 9110, 15): nothing tells what the response means. */
const MINIMUM_STATUS = 100;
const MAXIMUM_STATUS = 599;
/** Lower statuses are interim responses. */
const FIRST_FINAL_STATUS = 200;
/** Responses with these statuses have no body, whatever length their head announces. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Memory that a name or value takes beside its characters. Bytes. */
const HEADER_STRING_BYTES = 64;

class ResponseTooLargeError extends Error {}

class ResponseRejectedError extends Error {}

class InvalidStatusError extends Error {}

/** The responses of all peers hold all that they may. */
class MemoryExhaustedError extends Error {}

/**
 * Reads header pairs from undici's raw buffers. Decodes them as Latin-1, so that each byte stays the
 * same when the header is written again; other characters could not be written.
 */
function readHeaders(rawHeaders: Buffer[]): Record<string, string> {
  const headers: Record<string, string> = {};
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]?.toString('latin1').toLowerCase() ?? '';
    headers[name] ??= rawHeaders[index + 1]?.toString('latin1') ?? '';
  }
  return headers;
}

/** Memory that the header takes: strings, and their places in the object. Bytes. */
function headerMemory(rawHeaders: readonly Buffer[]): number {
  const text = rawHeaders.reduce((sum, { length }) => sum + length, 0);
  return text + rawHeaders.length * HEADER_STRING_BYTES;
}

/** The kind of a failure after the request was handed to a connection. */
function classify(error: Error, headerReceived: boolean): HttpClientErrorKind {
  if (error instanceof ResponseTooLargeError) return 'response_too_large';
  if (error instanceof ResponseByteLimitError) {
    return error.part === 'head' ? 'malformed_response' : 'response_too_large';
  }
  if (error instanceof MemoryExhaustedError) return 'memory_exhausted';
  if (error instanceof ResponseRejectedError) return 'response_rejected';
  if (error instanceof InvalidStatusError) return 'malformed_response';
  if (error instanceof errors.HTTPParserError) return 'malformed_response';
  if (error instanceof errors.HeadersOverflowError) return 'malformed_response';
  if (error instanceof errors.ResponseContentLengthMismatchError) return 'malformed_response';
  return headerReceived ? 'response_truncated' : 'connection_lost';
}

/** Collects one response and settles the caller's promise once. */
class ResponseCollector implements PooledHandler {
  onSettled: ((isWhole: boolean) => void) | undefined;
  onAbandoned: (() => void) | undefined;
  onWritten: (() => void) | undefined;
  readBytes: (() => number) | undefined;
  private limit: ResponseByteLimit | undefined;
  /** Undefined until the request is written. */
  private lease: ReceiveLease | undefined;
  private body: BodyCollector | undefined;
  private parser: ParserMemory | undefined;
  private requestSent = false;
  /** Given up before it was written to a connection. */
  private isAbandoned = false;
  private connectTimer: NodeJS.Timeout | undefined;
  private abandoning: NodeJS.Immediate | undefined;
  private status = 0;
  private headers: Record<string, string> = {};
  private abortRequest: ((error?: Error) => void) | undefined;
  private readonly onSignal = (): void => this.abort(new Error('aborted'));

  constructor(
    private readonly peer: string,
    private readonly maximumBytes: number,
    private readonly memory: ReceiveMemory,
    private readonly request: HttpClientRequest,
    private readonly resolve: (response: HttpClientResponse) => void,
    private readonly reject: (error: HttpClientError) => void,
  ) {
    request.signal?.addEventListener('abort', this.onSignal, { once: true });
    if (request.connectWithin === undefined) return;
    this.connectTimer = setTimeout(() => {
      // A process that was held up takes in the connections that have opened meanwhile first.
      this.abandoning = setImmediate(() =>
        this.abandon('connect_failed', new Error('no connection in time')),
      );
    }, request.connectWithin);
  }

  /**
   * Called by undici immediately before it writes the request to a socket. A
   * second call would be a resend, which no caller has asked for.
   */
  onConnect(abort: (error?: Error) => void): void {
    // undici drops a request whose handler throws here, and keeps the connection for the next one.
    if (this.isAbandoned) throw new Error('given up before it was sent');
    if (this.requestSent) {
      abort(new Error('aborted'));
      return;
    }
    clearTimeout(this.connectTimer);
    this.requestSent = true;
    this.abortRequest = abort;
    const startBytes = this.readBytes?.() ?? 0;
    this.limit = new ResponseByteLimit(startBytes, this.maximumBytes);
    this.lease = this.memory.open(this.peer, () =>
      this.abort(new MemoryExhaustedError('the largest response of the peer that holds the most')),
    );
    this.body = new BodyCollector(this.lease, this.memory.blocks);
    this.parser = new ParserMemory(this.lease, startBytes);
    this.onWritten?.();
    this.request.onSent?.();
  }

  onReadable(): void {
    const error = this.limit?.errorAt(this.readBytes?.() ?? 0);
    if (error !== undefined) this.abort(error);
  }

  onParsed(): void {
    if (this.parser?.update(this.readBytes?.() ?? 0) === false) this.abortForMemory();
  }

  onHeaders(status: number, rawHeaders: Buffer[]): boolean {
    if (status < MINIMUM_STATUS || status > MAXIMUM_STATUS) {
      this.abort(new InvalidStatusError(`expected a status from 100 to 599, received ${status}`));
      return false;
    }
    this.status = status;
    this.parser?.acceptHead(rawHeaders);
    if (this.lease?.take(headerMemory(rawHeaders)) === false) {
      this.abortForMemory();
      return false;
    }
    this.headers = readHeaders(rawHeaders);
    if (status >= FIRST_FINAL_STATUS) this.limit?.acceptHead(this.headers['content-length']);
    if (this.request.acceptResponse?.(this.headers) === false) {
      this.abort(new ResponseRejectedError('response rejected'));
      return false;
    }
    if (this.announcedBytes > Math.min(this.maximumBytes, this.memory.limit)) {
      this.abort(new ResponseTooLargeError(`announced ${this.announcedBytes} bytes`));
      return false;
    }
    if (this.body !== undefined) this.body.announcedBytes = this.announcedBytes;
    return true;
  }

  onData(chunk: Buffer): boolean {
    const size = (this.body?.size ?? 0) + chunk.length;
    const isAccepted = this.request.acceptBytes?.(chunk.length) ?? true;
    if (size > this.maximumBytes || !isAccepted) {
      this.abort(new ResponseTooLargeError('response too large'));
      return false;
    }
    this.parser?.acceptPart(chunk.length);
    if (this.body?.add(chunk) === false) {
      this.abortForMemory();
      return false;
    }
    return true;
  }

  onComplete(): void {
    this.request.signal?.removeEventListener('abort', this.onSignal);
    const body = this.body?.finish() ?? Buffer.alloc(0);
    this.parser?.release();
    if (this.request.holder === undefined) this.lease?.close();
    else this.lease?.keepFor(this.request.holder);
    this.resolve({ status: this.status, headers: this.headers, body });
    this.onSettled?.(true);
  }

  onError(error: Error): void {
    if (this.isAbandoned) return;
    this.stopWaiting();
    this.body?.release();
    this.body = undefined;
    this.parser?.release();
    this.parser = undefined;
    this.lease?.close();
    this.lease = undefined;
    const kind = this.kindOf(error);
    this.reject(new HttpClientError(kind, this.requestSent, this.peer, error));
    this.onSettled?.(false);
  }

  /** Length of the body according to the head; 0 when the head tells none. */
  private get announcedBytes(): number {
    const hasBody = this.request.method !== 'HEAD' && !BODILESS_STATUSES.has(this.status);
    const isFinal = this.status >= FIRST_FINAL_STATUS;
    return hasBody && isFinal ? Number(this.headers['content-length'] ?? 0) : 0;
  }

  private kindOf(error: Error): HttpClientErrorKind {
    if (this.request.signal?.aborted === true) return 'aborted';
    return this.requestSent ? classify(error, this.status !== 0) : 'connect_failed';
  }

  private abort(error: Error): void {
    if (this.abortRequest !== undefined) {
      this.abortRequest(error);
      return;
    }
    this.abandon('aborted', error);
  }

  private abortForMemory(): void {
    this.abort(new MemoryExhaustedError('no room for the response'));
  }

  /** Fails the request before it was written; undici is told when it comes to it. */
  private abandon(kind: HttpClientErrorKind, error: Error): void {
    if (this.requestSent || this.isAbandoned) return;
    this.isAbandoned = true;
    this.stopWaiting();
    this.reject(new HttpClientError(kind, false, this.peer, error));
    this.onAbandoned?.();
  }

  private stopWaiting(): void {
    clearTimeout(this.connectTimer);
    clearImmediate(this.abandoning);
    this.request.signal?.removeEventListener('abort', this.onSignal);
  }
}

/** Whether a connection carries further requests after its first. */
enum ConnectionReuse {
  /** undici's way of saying that every connection is closed after one request. */
  Never = 0,
  /** One request at a time, so that none waits behind another on a connection. */
  OneAtATime = 1,
}

/** Production {@link HttpClient}. */
export class NodeHttpClient implements HttpClient {
  /** Made when first needed: an unused pool still costs memory for each peer. */
  private kept: ConnectionPool | undefined;
  /** For requests that must not meet a connection the peer may have closed meanwhile. */
  private fresh: ConnectionPool | undefined;
  private readonly peer: string;
  private closed = false;

  constructor(
    address: Address,
    private readonly options: HttpClientOptions,
    /** Shared by all clients of a process. */
    private readonly memory = new ReceiveMemory(new ByteBudget(Infinity)),
  ) {
    this.peer = formatAddress(address);
  }

  request(request: HttpClientRequest): Promise<HttpClientResponse> {
    return new Promise((resolve, reject) => {
      if (request.signal?.aborted === true) {
        reject(new HttpClientError('aborted', false, this.peer, request.signal.reason));
        return;
      }
      const handler = new ResponseCollector(
        this.peer,
        this.options.maximumResponseBytes,
        this.memory,
        request,
        resolve,
        reject,
      );
      const pool = this.poolFor(request);
      if (pool === undefined) {
        handler.onError(new errors.ClientClosedError());
        return;
      }
      const { method, path, headers, body, requestId } = request;
      pool.dispatch({
        options: {
          method,
          path,
          headers,
          body: body ?? null,
          idempotent: false,
          servername: this.peer,
        },
        handler,
        fingerprint: requestId === undefined ? undefined : requestFingerprint(requestId),
      });
    });
  }

  async close(): Promise<void> {
    this.closed = true;
    await Promise.all([this.kept?.close(), this.fresh?.close()]);
  }

  destroy(): void {
    this.closed = true;
    void this.kept?.destroy();
    void this.fresh?.destroy();
  }

  /** Undefined when it would have to be made after the client was closed. */
  private poolFor(request: HttpClientRequest): ConnectionPool | undefined {
    if (request.freshConnection === true) {
      if (!this.closed) this.fresh ??= this.createPool(ConnectionReuse.Never);
      return this.fresh;
    }
    if (!this.closed) this.kept ??= this.createPool(ConnectionReuse.OneAtATime);
    return this.kept;
  }

  private createPool(reuse: ConnectionReuse): ConnectionPool {
    const { connections, connectTimeout, keepAliveTimeout } = this.options;
    const options: ConnectionOptions = {
      pipelining: reuse,
      connect: createResetAwareConnector(connectTimeout),
      keepAliveTimeout,
      keepAliveMaxTimeout: keepAliveTimeout,
      headersTimeout: 0,
      bodyTimeout: 0,
    };
    return new ConnectionPool(`http://${this.peer}`, connections, options);
  }
}
