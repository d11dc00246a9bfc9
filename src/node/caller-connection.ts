/** What a listener knows of one accepted connection. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { HttpListenOptions } from '../seams/http.js';
import type { ParsingTurns } from './parsing-turns.js';
import { RequestByteLimit } from './request-byte-limit.js';
import { RequestFeeder } from './request-feeder.js';
import type { MemoryHolder, SharedMemory } from './shared-memory.js';
import { UnservedRequests } from './unserved-requests.js';

/** What a connection tells its listener. */
export interface CallerConnectionListener {
  /** Called for each part that arrives past the byte limit of the connection. */
  onTooManyBytes(connection: CallerConnection): void;
  /** Called when the connection has to be closed for its memory. */
  onGivenUp(connection: CallerConnection): void;
}

/** One caller's connection. */
export class CallerConnection implements MemoryHolder {
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
  private readonly unserved: UnservedRequests;
  private readonly feeder: RequestFeeder;

  constructor(
    readonly socket: Socket,
    options: HttpListenOptions,
    memory: SharedMemory,
    turns: ParsingTurns,
    private readonly listener: CallerConnectionListener,
  ) {
    memory.join(this);
    this.limit = new RequestByteLimit(socket, options, () => listener.onTooManyBytes(this));
    this.unserved = new UnservedRequests(socket, (bytes) => memory.update(this, bytes));
    this.feeder = new RequestFeeder(socket, this, turns, (bytes) => this.unserved.setAhead(bytes));
    socket.once('close', () => {
      memory.leave(this);
      for (const request of this.requests) request.abort(new Error('caller gone'));
    });
  }

  /** Whether a handler works on a request of it. */
  get isBusy(): boolean {
    return this.requests.size > 0;
  }

  /** Whether a request of it is not answered yet. */
  get hasUnanswered(): boolean {
    return this.lastResponse !== undefined;
  }

  /**
   * Resolves once the responses to all earlier requests are written, so that
   * requests sent ahead take neither memory nor places.
   */
  async takeTurn(response: ServerResponse): Promise<void> {
    this.limit.restart();
    this.unserved.begin(response.req);
    this.feeder.begin(response.req);
    const earlier = this.lastResponse;
    this.lastResponse = response;
    response.once('close', () => this.endResponse(response));
    if (earlier === undefined) return;
    this.unserved.startWaiting();
    await new Promise<void>((resolve) => earlier.once('close', () => resolve()));
    this.unserved.endWaiting();
  }

  /** Whether no request is served after the one that is served now. */
  get endsAfterAnswer(): boolean {
    return this.isClosing;
  }

  /**
   * Drops what was sent ahead; the connection ends after the answer that it waits for. False when nothing
   * would be gained: no answer is waited for, or requests that wait are parsed already.
   */
  dropAhead(): boolean {
    if (!this.hasUnanswered || this.unserved.waiting > 0) return false;
    // The answer waits for the bytes that are held.
    if (this.feeder.isReceivingBody) return false;
    this.isClosing = true;
    this.feeder.stop();
    return true;
  }

  /** Nothing that is received from now on is parsed. */
  stopReading(): void {
    this.feeder.stop();
  }

  giveUp(): void {
    this.listener.onGivenUp(this);
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
    const isIdle = !this.hasUnanswered && !this.feeder.isHolding;
    if (isIdle && this.socket.bytesRead === this.bytesAnswered) this.socket.destroy();
  }

  private endResponse(response: ServerResponse): void {
    if (this.lastResponse !== response) return;
    this.lastResponse = undefined;
    this.bytesAnswered = this.socket.bytesRead;
    this.feeder.resume();
    if (this.isClosing && !this.feeder.isHolding) this.socket.end();
  }
}
