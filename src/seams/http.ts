/**
 * HTTP as product code sees it: whole requests and whole responses, with body
 * sizes bounded by the implementation. Part of the network seam.
 */
import type { Address } from './address.js';
import type { CancellationSignal } from './cancellation-signal.js';

/** Header names are lower case. A repeated header keeps its first value. */
export type HttpHeaders = Readonly<Record<string, string>>;

/** One received request, its body already read in full. */
export interface HttpRequest {
  readonly method: string;
  /** Path without the query string, percent-encoding untouched. */
  readonly path: string;
  readonly query: URLSearchParams;
  /** Path and query string exactly as they were sent. */
  readonly target: string;
  readonly headers: HttpHeaders;
  readonly body: Uint8Array;
  /** Aborts when the caller closed its connection before the response was written. */
  readonly signal: AbortSignal;
  readonly remoteAddress: string;
  /** Whether a header, named in lower case, came more than once; unset when the listener cannot tell. */
  readonly isRepeated?: (name: string) => boolean;
  /** Whether this is the first request its connection carries; unset when the listener cannot tell. */
  readonly newConnection?: boolean;
}

/** One response to write. */
export interface HttpResponse {
  readonly status: number;
  readonly headers?: HttpHeaders;
  readonly body: string | Uint8Array;
  /**
   * Writes only this many bytes of the body and then closes the connection; 0
   * closes it before the header. Stand-in back ends break replies with it;
   * product code never sets it. Bytes.
   */
  readonly closeAfterBytes?: number;
  /** Called once the operating system has taken the whole response; never if the caller has gone. */
  readonly onWritten?: () => void;
}

export type HttpHandler = (request: HttpRequest) => Promise<HttpResponse>;

/** A request that broke a bound of the listener, or is no HTTP. */
export interface RefusedRequest {
  /** Of the answer that was written. */
  readonly status: number;
  /** Empty when the connection is gone. */
  readonly remoteAddress: string;
}

/** Bounds that the listener enforces before a handler sees a request. */
export interface HttpListenOptions {
  /** A longer body is answered 413 and its connection closed. Bytes. */
  readonly maximumBodyBytes: number;
  /** Longer header blocks are answered 431 and the connection closed. Bytes. */
  readonly maximumHeaderBytes: number;
  /**
   * A request not received in full within this time is answered 408 and its
   * connection closed. Milliseconds.
   */
  readonly requestTimeout: number;
  /** Further connections wait or are refused. */
  readonly maximumConnections: number;
  /**
   * Bodies of requests in hand and responses that callers have not taken yet,
   * of all connections together; a request past it is answered 503 without
   * having been seen by the handler. Bytes; the implementation's own bound when
   * absent.
   */
  readonly maximumBufferedBytes?: number;
  /** Told of each request that the listener itself refused, which no handler saw. */
  readonly onRefused?: (refused: RefusedRequest) => void;
  /** A connection idle for this long is closed. Milliseconds; {@link DEFAULT_IDLE_TIMEOUT} when absent. */
  readonly idleTimeout?: number;
}

/** Milliseconds. */
export const DEFAULT_IDLE_TIMEOUT = 5_000;

/** A running HTTP listener. */
export interface HttpListener {
  /** The port is the one really bound. */
  readonly address: Address;

  /** Changes how long connections may be idle from now on. Milliseconds. */
  setIdleTimeout(milliseconds: number): void;

  /**
   * Stops accepting, closes idle keep-alive connections, answers what is in
   * flight with `connection: close`, and resolves when the last one is done.
   */
  close(): Promise<void>;
}

/** Somebody who keeps responses that were received in full. */
export interface ResponseHolder {
  /** Calls `callback` once the responses are not kept any more; at once if that is so already. */
  onceReleased(callback: () => void): void;
}

/** One request to send. */
export interface HttpClientRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HttpHeaders;
  readonly body?: string | Uint8Array;
  /** Aborting closes the connection that carries the request, which cancels it at the peer. */
  readonly signal?: CancellationSignal;
  /** Asks for a connection that has carried no earlier request. */
  readonly freshConnection?: boolean;
  /**
   * Id by which the peer's responses name the request. A connection on which a request of the same id
   * was sent lately is not used: a peer may repeat a response, and a late copy can't be told from the
   * response to this sending.
   */
  readonly requestId?: string;
  /**
   * Longest time until the request is written to a connection: after it the request fails with
   * an `HttpClientError` of kind `connect_failed` and is never written. A connection that is being
   * opened for it goes on opening, for the next request. Milliseconds; bounded by
   * `connectTimeout` alone when absent.
   */
  readonly connectWithin?: number;
  /** Called once, just before the request is written to a connection: from then on the peer may run it. */
  readonly onSent?: () => void;
  /**
   * Asked once the header of the response is there. When it says false, the
   * connection is closed at once and the request fails with an
   * `HttpClientError` of kind `response_rejected`.
   */
  readonly acceptResponse?: (headers: HttpHeaders) => boolean;
  /**
   * Asked for each part of the response's body as it arrives, with its size in
   * bytes. When it says false, the connection is closed at once and the request
   * fails with an `HttpClientError` of kind `response_too_large`.
   */
  readonly acceptBytes?: (bytes: number) => boolean;
  /**
   * The response counts as held in memory until it is released; when absent, until the response is
   * handed over. When the responses of all peers hold all that they may, the request fails with an
   * `HttpClientError` of kind `memory_exhausted`.
   */
  readonly holder?: ResponseHolder;
}

/** A response received in full. */
export interface HttpClientResponse {
  /** 200 to 599; a response with a status that HTTP does not define is malformed. */
  readonly status: number;
  readonly headers: HttpHeaders;
  readonly body: Uint8Array;
}

/** Bounds of the connections to one peer. */
export interface HttpClientOptions {
  /**
   * Most connections, and so most requests in flight, since requests are never
   * pipelined. Requests with `freshConnection` are bounded on their own, by the
   * same number.
   */
  readonly connections: number;
  /** A longer response fails with `HttpClientError` of kind `response_too_large`. Bytes. */
  readonly maximumResponseBytes: number;
  /** Longest time to open a connection. Milliseconds. */
  readonly connectTimeout: number;
  /** Idle connections are closed after this time. Milliseconds. */
  readonly keepAliveTimeout: number;
}

/**
 * Connections to one peer. Never resends a request: a request fails with an
 * `HttpClientError` whose `requestSent` tells whether any byte may have left.
 */
export interface HttpClient {
  request(request: HttpClientRequest): Promise<HttpClientResponse>;

  /** Closes idle connections now and the others as they finish. */
  close(): Promise<void>;

  /** Closes all connections; requests in flight fail. */
  destroy(): void;
}
