import { connect } from 'node:net';
import { once } from 'node:events';
import { afterEach, describe, expect, it } from 'vitest';
import { listenHttp } from '../../src/node/node-http-server.js';
import type { HttpListener } from '../../src/seams/http.js';
import { GET } from './support/listener-fixture.js';
import { writeEndlessly } from './support/endless-writer.js';

const OPTIONS = {
  maximumBodyBytes: 1_024,
  maximumHeaderBytes: 2_048,
  maximumConnections: 10,
  // No connection of this test is closed by its time.
  requestTimeout: 600_000,
  idleTimeout: 600_000,
};
const LINE = 'GET / HTTP/1.1\r\n';
const CHUNKED = 'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n';

/** Where a request goes on without end: what precedes the place, and what is repeated there. */
const PLACES: Readonly<Record<string, readonly [string, string]>> = {
  'lines before the first request': ['', '\r\n'],
  'lines after a request': [GET, '\r\n'],
  'the method': ['', 'A'],
  'the path': ['GET /', 'a'],
  'a header name': [LINE, 'a'],
  'the blanks before a header value': [`${LINE}x:`, ' '],
  'header lines': [LINE, 'a: b\r\n'],
  'the size of a chunk': [CHUNKED, '0'],
  'a chunk extension': [`${CHUNKED}1;`, 'a'],
  trailers: [`${CHUNKED}0\r\n`, 'a: b\r\n'],
};

let listener: HttpListener | undefined;

afterEach(() => listener?.close());

describe('a request that never ends', () => {
  // Guards against a caller that takes a whole core with bytes that no bound of Node counts.
  it.each(Object.entries(PLACES))(
    'in %s is cut off at a bound',
    async (_place, [prefix, repeated]) => {
      listener = await listenHttp({ host: '127.0.0.1', port: 0 }, OPTIONS, async () => ({
        status: 200,
        body: 'ok',
      }));
      const socket = connect(listener.address.port, listener.address.host);
      socket.on('error', () => undefined);
      await once(socket, 'connect');
      socket.resume();
      socket.write(prefix, 'latin1');
      expect(await writeEndlessly(socket, repeated)).toBe(false);
    },
  );
});
