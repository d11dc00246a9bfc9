/**
 * Bounds all bytes received on a caller's connection from the head of one request to that of the next.
 * Node bounds headers, chunk extensions and the time of a request, but not what its parser skips, such
 * as empty lines between requests.
 */
import type { Socket } from 'node:net';
import type { HttpListenOptions } from '../seams/http.js';

/** Framing of a chunked body, and bytes of the next request that arrive together with it. Bytes. */
const MAXIMUM_FRAMING_BYTES = 128 * 1024;

/** Counts the bytes of one connection. */
export class RequestByteLimit {
  private bytes = 0;
  private readonly maximumBytes: number;

  /**
   * @param onExceeded - called for each part that arrives past the limit. Node's own listener has
   *   parsed the part by then.
   */
  constructor(
    socket: Socket,
    { maximumHeaderBytes, maximumBodyBytes }: HttpListenOptions,
    onExceeded: () => void,
  ) {
    this.maximumBytes = maximumHeaderBytes + 2 * maximumBodyBytes + MAXIMUM_FRAMING_BYTES;
    socket.on('data', (part: Buffer) => {
      this.bytes += part.length;
      if (this.bytes > this.maximumBytes) onExceeded();
    });
  }

  /** Call when the head of a request is received. */
  restart(): void {
    this.bytes = 0;
  }
}
