/**
 * Client of the administration API. Asks one controller after the other; a
 * request that carries a change id is resent as it is when its answer was lost,
 * which the controllers answer with the first result.
 */
import { errorBodySchema, type ErrorBody } from '../administration/administration-error.js';
import { HttpClientError } from '../errors/http-client-error.js';
import { formatAddress, type Address } from '../seams/address.js';
import type { Clock } from '../seams/clock.js';
import type { HttpClient, HttpClientResponse } from '../seams/http.js';
import type { Network } from '../seams/network.js';
import { ASK_STEP, FailureRecord } from './failure-record.js';
import { OperatorError } from './operator-error.js';

/** Largest answer read; a whole configuration fits. Bytes. */
const MAXIMUM_RESPONSE_BYTES = 64 * 1_048_576;
const STATUS_OK = 200;
const STATUS_CLIENT_ERRORS = 400;
const STATUS_PAYLOAD_TOO_LARGE = 413;
const STATUS_SERVER_ERRORS = 500;

/** Where and how to ask. */
export interface OperatorClientOptions {
  /** Asked in this order. */
  readonly controllers: readonly Address[];
  readonly token: string | undefined;
  /** For one attempt. Milliseconds. */
  readonly attemptTimeoutMs: number;
  /** For all attempts together. Milliseconds. */
  readonly totalTimeoutMs: number;
}

/** One request to the API. */
export interface OperatorRequest {
  readonly method: 'GET' | 'POST';
  /** With the query string. */
  readonly target: string;
  readonly body?: unknown;
  /** True when sending it twice does the same as once: reads, and whatever carries a change id. */
  readonly resendable: boolean;
  /** True for a POST that only asks, such as a dry run. */
  readonly changesNothing?: boolean;
}

/** One controller and its connections. */
interface Peer {
  readonly name: string;
  readonly client: HttpClient;
}

type ErrorDetails = ErrorBody['error'];

/** How an attempt failed, and whether asking again may help. */
interface FailedAttempt {
  readonly error: OperatorError;
  readonly worthAnother: boolean;
}

function clientSideError(message: string, requestSent: boolean): ErrorDetails {
  return {
    code: requestSent ? 'outcome_unknown' : 'unavailable',
    message,
    step: ASK_STEP,
    changed: requestSent ? 'unknown' : 'no',
  };
}

/** Whether the request can have changed anything once it was sent. */
function mayChange({ method, changesNothing = false }: OperatorRequest): boolean {
  return method !== 'GET' && !changesNothing;
}

/** Whether the controllers' verdict is on this very request, whichever attempt brought it. */
function isIdentified({ body }: OperatorRequest): boolean {
  return typeof body === 'object' && body !== null && 'changeId' in body;
}

/** The error of a response; one without our error body comes from before the API. */
function readError(response: HttpClientResponse, request: OperatorRequest): ErrorDetails {
  const text = new TextDecoder().decode(response.body);
  try {
    const parsed = errorBodySchema.safeParse(JSON.parse(text));
    if (parsed.success) return parsed.data.error;
  } catch {
    // Not JSON: told by its status below.
  }
  const { status } = response;
  if (status === STATUS_PAYLOAD_TOO_LARGE) {
    const message = 'the request is larger than the controller reads';
    return { code: 'too_large', message, step: 'read answer', changed: 'no' };
  }
  const message = `unexpected answer with status ${status}`;
  if (status >= STATUS_CLIENT_ERRORS && status < STATUS_SERVER_ERRORS) {
    return { code: 'bad_request', message, step: 'read answer', changed: 'no' };
  }
  return clientSideError(message, mayChange(request));
}

/** Asks the controllers. */
export class OperatorClient {
  private readonly peers: readonly Peer[];

  constructor(
    network: Network,
    private readonly clock: Clock,
    private readonly options: OperatorClientOptions,
  ) {
    this.peers = options.controllers.map((address) => ({
      name: formatAddress(address),
      client: network.httpClient(address, {
        connections: 1,
        maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
        connectTimeout: options.attemptTimeoutMs,
        keepAliveTimeout: options.attemptTimeoutMs,
      }),
    }));
  }

  /** Reads from the first controller that can answer. */
  get<T>(target: string): Promise<T> {
    return this.send<T>({ method: 'GET', target, resendable: true });
  }

  /** Sends a body that carries a change id. */
  post<T>(target: string, body: { readonly changeId: string }): Promise<T> {
    return this.send<T>({ method: 'POST', target, body, resendable: true });
  }

  /**
   * Sends until an answer decides it, or time is up. Once an attempt may have
   * changed something, only the controllers' verdict on that very change
   * settles it; every other failure is then reported as an unknown outcome.
   *
   * @throws OperatorError
   */
  async send<T>(request: OperatorRequest): Promise<T> {
    const deadline = this.clock.now() + this.options.totalTimeoutMs;
    const failures = new FailureRecord(isIdentified(request));
    if (this.peers.length === 0) throw failures.verdict();
    for (;;) {
      for (const peer of this.peers) {
        const result = await this.attempt<T>(peer, request);
        if (!('error' in result)) return result.value;
        failures.add(result.error);
        if (!result.worthAnother) throw failures.verdict();
      }
      const pause = failures.pauseMs();
      if (this.clock.now() + pause >= deadline) throw failures.verdict();
      await this.clock.sleep(pause);
    }
  }

  /** Closes the connections. */
  close(): void {
    for (const { client } of this.peers) client.destroy();
  }

  private async attempt<T>(
    peer: Peer,
    request: OperatorRequest,
  ): Promise<{ readonly value: T } | FailedAttempt> {
    const abort = new AbortController();
    const timer = this.clock.setTimer(this.options.attemptTimeoutMs, () => abort.abort());
    try {
      const response = await peer.client.request({
        method: request.method,
        path: request.target,
        headers: this.headers(),
        ...(request.body === undefined ? {} : { body: JSON.stringify(request.body) }),
        signal: abort.signal,
      });
      if (response.status === STATUS_OK) {
        return { value: JSON.parse(new TextDecoder().decode(response.body)) as T };
      }
      return this.failed(request, new OperatorError(readError(response, request), peer.name));
    } catch (error) {
      const sent = !(error instanceof HttpClientError) || error.requestSent;
      const message = error instanceof Error ? error.message : String(error);
      const details = clientSideError(message, sent && mayChange(request));
      return this.failed(request, new OperatorError(details, peer.name, error));
    } finally {
      timer.cancel();
    }
  }

  private failed(request: OperatorRequest, error: OperatorError): FailedAttempt {
    const { code, changed } = error.error;
    const transient = code === 'unavailable' || code === 'outcome_unknown' || code === 'internal';
    const safe = request.resendable || changed === 'no';
    return { error, worthAnother: transient && safe };
  }

  private headers(): Record<string, string> {
    const headers: Record<string, string> = { 'content-type': 'application/json' };
    const { token } = this.options;
    if (token !== undefined) headers['authorization'] = `Bearer ${token}`;
    return headers;
  }
}
