import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { afterEach, describe, expect, it } from 'vitest';
import { HttpClientError } from '../../src/errors/http-client-error.js';
import { NodeHttpClient } from '../../src/node/node-http-client.js';
import { writeEndlessly } from './support/endless-writer.js';

const MAXIMUM_RESPONSE_BYTES = 64 * 1024;
const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${OK}transfer-encoding: chunked\r\n\r\n`;

/** Where a response goes on without end: what precedes the place, and what is repeated there. */
const PLACES: Readonly<Record<string, readonly [string, string]>> = {
  'lines before the status line': ['', '\r\n'],
  'the reason phrase': ['HTTP/1.1 200 ', 'a'],
  'interim responses': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  'a header name': [OK, 'a'],
  'a header value': [`${OK}x: `, 'a'],
  'the blanks before a header value': [`${OK}x:`, ' '],
  'header lines': [OK, 'a: b\r\n'],
  'headers without a name': [OK, 'a:\r\n'],
  'the size of a chunk': [CHUNKED, '0'],
  'a chunk extension': [`${CHUNKED}1;`, 'a'],
  'the value of a chunk extension': [`${CHUNKED}1;a="`, 'a'],
  'chunks of one byte': [CHUNKED, '1\r\na\r\n'],
  trailers: [`${CHUNKED}0\r\n`, 'a: b\r\n'],
  'a chunked body': [`${CHUNKED}fffffff\r\n`, 'a'],
  'a body that ends with its connection': [`${OK}connection: close\r\n\r\n`, 'a'],
  'a body longer than announced': [`${OK}content-length: 10\r\n\r\n`, 'a'],
  'a body longer than allowed': [`${OK}content-length: 99999999\r\n\r\n`, 'a'],
};

/** Answers one request with bytes that go on until the connection is closed. */
class EndlessPeer {
  /** Whether all bytes were taken, so that nobody closed the connection. */
  hasSentAll: Promise<boolean> | undefined;
  private server: Server | undefined;
  private readonly sockets: Socket[] = [];

  async start(prefix: string, repeated: string): Promise<number> {
    this.server = createServer((socket) => {
      this.sockets.push(socket);
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(prefix, 'latin1');
        this.hasSentAll = writeEndlessly(socket, repeated);
      });
    });
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  stop(): void {
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

let peer: EndlessPeer;
let client: NodeHttpClient | undefined;

afterEach(() => {
  client?.destroy();
  peer.stop();
});

async function requestFrom(port: number): Promise<unknown> {
  const options = { connections: 1, connectTimeout: 5_000, keepAliveTimeout: 30_000 };
  const address = { host: '127.0.0.1', port };
  client = new NodeHttpClient(address, {
    ...options,
    maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
  });
  return client.request({ method: 'GET', path: '/', headers: {} }).catch((error: unknown) => error);
}

describe('a response that never ends', () => {
  // Guards against bytes that the parser passes over and nobody counts: a whole core until the deadline.
  it.each(Object.entries(PLACES))(
    'in %s is cut off at a bound',
    async (_place, [prefix, repeated]) => {
      peer = new EndlessPeer();
      const port = await peer.start(prefix, repeated);
      const outcome = await requestFrom(port);
      // A body that is whole counts; what follows it belongs to no response.
      if (outcome instanceof HttpClientError) {
        expect(['malformed_response', 'response_too_large']).toContain(outcome.kind);
      } else {
        expect(prefix).toContain('content-length: 10');
      }
      expect(await peer.hasSentAll).toBe(false);
    },
  );
});
