/** One request of an HTTP client, from its call to its outcome. */
import { HttpClientError, type HttpClientErrorKind } from '../../src/errors/http-client-error.js';
import type { HttpClientRequest, HttpClientResponse } from '../../src/seams/http.js';
import type { PooledConnection } from './pooled-connection.js';

/** Settles the caller's promise once. */
export class PendingRequest {
  /** Whether it was written to a connection. */
  sent = false;
  connection: PooledConnection | undefined;
  private settled = false;

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

  /** Called just before it is written. */
  markSent(): void {
    this.sent = true;
    this.request.onSent?.();
  }

  private readonly onSignal = (): void => this.onAbort(this);
}
