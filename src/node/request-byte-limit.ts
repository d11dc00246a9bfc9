/**
 * Bounds every byte that a caller's connection brings from one request to the next, whatever the
 * parser makes of it. Node bounds headers, chunk extensions and the time of a request, but not what
 * its parser passes over, such as empty lines between requests.
 */
import type { Socket } from 'node:net';
import type { HttpListenOptions } from '../seams/http.js';

/** Framing of a chunked body, and what of the next request arrives together with it. Bytes. */
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

  /** The head of a request was received. */
  restart(): void {
    this.bytes = 0;
  }
}
