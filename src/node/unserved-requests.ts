/**
 * Estimates the memory of what a caller has sent and nobody serves yet: the head that is being received,
 * bytes that were sent ahead, and requests that wait for earlier ones. Node's parser holds an object for each header, so a head of short headers
 * takes many times its bytes.
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { countLines } from './parsing-turns.js';

/** Name and value of one header, beside their bytes. Bytes. */
const HEADER_OVERHEAD_BYTES = 128;
/** One request with its response, beside its head. Bytes. */
const REQUEST_OVERHEAD_BYTES = 4_096;

/** Follows one connection. */
export class UnservedRequests {
  private headBytes = 0;
  private aheadBytes = 0;
  /** Requests that were parsed and wait for earlier ones. */
  waiting = 0;
  private newest: IncomingMessage | undefined;
  private beganInPart = false;
  /** Whether the next part continues a body. */
  private isBody = false;

  /** `onChange` is called with the estimate in bytes; Node's own listener has parsed each part by then. */
  constructor(
    socket: Socket,
    private readonly onChange: (bytes: number) => void,
  ) {
    socket.on('data', (part: Buffer) => this.addPart(part));
  }

  /** Call when the head of a request is received. */
  begin(message: IncomingMessage): void {
    this.newest = message;
    this.beganInPart = true;
  }

  /** Call with the bytes that were sent ahead and are not parsed yet. */
  setAhead(bytes: number): void {
    this.aheadBytes = bytes;
    this.report();
  }

  startWaiting(): void {
    this.waiting += 1;
  }

  endWaiting(): void {
    this.waiting -= 1;
    this.report();
  }

  /** A part ends where a head ends, see `RequestFeeder`. */
  private addPart(part: Buffer): void {
    if (this.isBody || this.beganInPart) this.headBytes = 0;
    else this.headBytes += part.length + countLines(part) * HEADER_OVERHEAD_BYTES;
    this.beganInPart = false;
    this.isBody = this.newest !== undefined && !this.newest.complete;
    this.report();
  }

  private report(): void {
    const waitingBytes = this.waiting * REQUEST_OVERHEAD_BYTES;
    this.onChange(this.headBytes + this.aheadBytes + waitingBytes);
  }
}
