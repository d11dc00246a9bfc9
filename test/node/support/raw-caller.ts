/** A caller whose every byte the test decides. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import type { Address } from '../../../src/seams/address.js';

const END_OF_HEADER = '\r\n\r\n';

/** One response, read from the wire. */
export interface RawResponse {
  readonly status: number;
  readonly header: string;
  readonly body: string;
}

/** The response `text` begins with, or undefined when it is not whole. */
function readResponse(text: string): { response: RawResponse; length: number } | undefined {
  const headerEnd = text.indexOf(END_OF_HEADER);
  const status = /^HTTP\/1\.1 (\d{3})/.exec(text)?.[1];
  if (headerEnd < 0 || status === undefined) return undefined;
  const header = text.slice(0, headerEnd).toLowerCase();
  const bodyStart = headerEnd + END_OF_HEADER.length;
  const length = bodyStart + Number(/content-length: (\d+)/.exec(header)?.[1] ?? 0);
  if (text.length < length) return undefined;
  return {
    response: { status: Number(status), header, body: text.slice(bodyStart, length) },
    length,
  };
}

export class RawCaller {
  /** Resolves once the connection is closed. */
  readonly closed: Promise<unknown>;
  private received = '';

  private constructor(readonly socket: Socket) {
    this.closed = new Promise((resolve) => socket.once('close', resolve));
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => (this.received += chunk.toString('latin1')));
  }

  static async open({ host, port }: Address): Promise<RawCaller> {
    const socket = connect({ host, port, allowHalfOpen: true });
    await once(socket, 'connect');
    socket.once('end', () => socket.end());
    return new RawCaller(socket);
  }

  send(bytes: string | Uint8Array): void {
    this.socket.write(bytes);
  }

  /** The next whole response, or undefined when the connection closes before there is one. */
  async next(): Promise<RawResponse | undefined> {
    for (;;) {
      const read = readResponse(this.received);
      if (read !== undefined) {
        this.received = this.received.slice(read.length);
        return read.response;
      }
      if (this.socket.destroyed) return undefined;
      const data = new Promise((resolve) => this.socket.once('data', resolve));
      await Promise.race([data, this.closed]);
    }
  }

  close(): void {
    this.socket.destroy();
  }
}
