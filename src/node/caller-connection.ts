/** What a listener knows of one accepted connection. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { HttpListenOptions } from '../seams/http.js';
import { RequestByteLimit } from './request-byte-limit.js';

/** One caller's connection. */
export class CallerConnection {
  /** Whether a whole request has come over it. */
  isUsed = false;
  /** Whether it was told that its bytes are not taken; it is about to be closed. */
  isRefused = false;
  private isClosing = false;
  /** The response that is to be written last of those begun. */
  private lastResponse: ServerResponse | undefined;
  /** Bytes received when the last response had been written. */
  private bytesAnswered = 0;
  private readonly requests = new Set<AbortController>();
  private readonly limit: RequestByteLimit;

  constructor(
    readonly socket: Socket,
    options: HttpListenOptions,
    onTooManyBytes: (connection: CallerConnection) => void,
  ) {
    this.limit = new RequestByteLimit(socket, options, () => onTooManyBytes(this));
    socket.once('close', () => {
      for (const request of this.requests) request.abort(new Error('caller gone'));
    });
  }

  /** Whether a handler works on a request of it. */
  get isBusy(): boolean {
    return this.requests.size > 0;
  }

  /**
   * Resolves once the responses to all earlier requests are written, so that
   * requests sent ahead take neither memory nor places.
   */
  async takeTurn(response: ServerResponse): Promise<void> {
    this.limit.restart();
    const earlier = this.lastResponse;
    this.lastResponse = response;
    response.once('close', () => this.endResponse(response));
    if (earlier === undefined) return;
    await new Promise<void>((resolve) => earlier.once('close', () => resolve()));
  }

  /** A request was received whole; its signal aborts when the connection closes. */
  beginRequest(): AbortController {
    const request = new AbortController();
    this.isUsed = true;
    this.requests.add(request);
    return request;
  }

  /** The response of the request was handed over. */
  endRequest(request: AbortController): void {
    this.requests.delete(request);
  }

  /**
   * Closes it now or after the responses it waits for. Node's own way closes
   * connections whose last response is still on its way.
   */
  closeWhenIdle(): void {
    this.isClosing = true;
    const isIdle = this.lastResponse === undefined;
    if (isIdle && this.socket.bytesRead === this.bytesAnswered) this.socket.destroy();
  }

  private endResponse(response: ServerResponse): void {
    if (this.lastResponse !== response) return;
    this.lastResponse = undefined;
    this.bytesAnswered = this.socket.bytesRead;
    if (this.isClosing) this.socket.end();
  }
}
