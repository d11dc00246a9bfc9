/**
 * Requests to one peer over undici, one at a time on each connection. undici
 * itself never resends: a request that failed after it was written to a socket
 * is reported, not repeated.
 */
import { Pool, errors, type Dispatcher } from 'undici';
import { HttpClientError, type HttpClientErrorKind } from '../errors/http-client-error.js';
import { formatAddress, type Address } from '../seams/address.js';
import type {
  HttpClient,
  HttpClientOptions,
  HttpClientRequest,
  HttpClientResponse,
} from '../seams/http.js';

class ResponseTooLargeError extends Error {}

/** Names header pairs as undici's raw buffers give them. */
function readHeaders(rawHeaders: Buffer[]): Record<string, string> {
  const headers: Record<string, string> = {};
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = String(rawHeaders[index]).toLowerCase();
    headers[name] ??= String(rawHeaders[index + 1]);
  }
  return headers;
}

function classify(error: Error, aborted: boolean): HttpClientErrorKind {
  if (aborted) return 'aborted';
  if (error instanceof ResponseTooLargeError) return 'response_too_large';
  if (error instanceof errors.HTTPParserError) return 'malformed_response';
  if (error instanceof errors.ResponseContentLengthMismatchError) return 'malformed_response';
  return 'connection_lost';
}

/** Collects one response and settles the caller's promise once. */
class ResponseCollector implements Dispatcher.DispatchHandler {
  private requestSent = false;
  private status = 0;
  private headers: Record<string, string> = {};
  private readonly chunks: Buffer[] = [];
  private size = 0;
  private abortRequest: ((error?: Error) => void) | undefined;
  private readonly onSignal = (): void => this.abort(new Error('aborted'));

  constructor(
    private readonly peer: string,
    private readonly maximumBytes: number,
    private readonly signal: AbortSignal | undefined,
    private readonly resolve: (response: HttpClientResponse) => void,
    private readonly reject: (error: HttpClientError) => void,
  ) {
    signal?.addEventListener('abort', this.onSignal, { once: true });
  }

  /** Called by undici immediately before it writes the request to a socket. */
  onConnect(abort: (error?: Error) => void): void {
    if (this.signal?.aborted === true) {
      abort(new Error('aborted'));
      return;
    }
    this.requestSent = true;
    this.abortRequest = abort;
  }

  onHeaders(status: number, rawHeaders: Buffer[]): boolean {
    this.status = status;
    this.headers = readHeaders(rawHeaders);
    return true;
  }

  onData(chunk: Buffer): boolean {
    this.size += chunk.length;
    if (this.size > this.maximumBytes) {
      this.abort(new ResponseTooLargeError('response too large'));
      return false;
    }
    this.chunks.push(chunk);
    return true;
  }

  onComplete(): void {
    this.signal?.removeEventListener('abort', this.onSignal);
    const [only] = this.chunks;
    const body = this.chunks.length === 1 && only !== undefined ? only : Buffer.concat(this.chunks);
    this.resolve({ status: this.status, headers: this.headers, body });
  }

  onError(error: Error): void {
    this.signal?.removeEventListener('abort', this.onSignal);
    const aborted = this.signal?.aborted === true;
    const kind =
      this.requestSent || aborted ? classify(error, aborted) : ('connect_failed' as const);
    this.reject(new HttpClientError(kind, this.requestSent, this.peer, error));
  }

  private abort(error: Error): void {
    if (this.abortRequest !== undefined) {
      this.abortRequest(error);
      return;
    }
    this.reject(new HttpClientError('aborted', this.requestSent, this.peer, error));
  }
}

/** Production {@link HttpClient}. */
export class NodeHttpClient implements HttpClient {
  private readonly pool: Pool;
  private readonly peer: string;

  constructor(
    address: Address,
    private readonly options: HttpClientOptions,
  ) {
    this.peer = formatAddress(address);
    this.pool = new Pool(`http://${this.peer}`, {
      connections: options.connections,
      pipelining: 1,
      connect: { timeout: options.connectTimeout },
      keepAliveTimeout: options.keepAliveTimeout,
      keepAliveMaxTimeout: options.keepAliveTimeout,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
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
        request.signal,
        resolve,
        reject,
      );
      this.pool.dispatch(
        {
          method: request.method,
          path: request.path,
          headers: request.headers,
          body: request.body ?? null,
          idempotent: false,
        },
        handler,
      );
    });
  }

  async close(): Promise<void> {
    await this.pool.close();
  }

  destroy(): void {
    void this.pool.destroy();
  }
}
