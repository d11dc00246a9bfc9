import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { NodeHttpClient } from '../../src/node/node-http-client.js';
import type { HttpHandler, HttpHeaders } from '../../src/seams/http.js';
import { errorOf, GET, ListenerFixture } from './support/listener-fixture.js';

const HIGH_BIT = 0x80;
const STATUS_LINE = 'HTTP/1.1 200 OK\r\n';
const HEADERS = 'x-mark: one two\r\nx-driftway-load: 1,0,2\r\ncontent-length: 2\r\n';
const RESPONSE = Buffer.from(`${STATUS_LINE}${HEADERS}\r\nok`);
/** Headers that a listener adds by itself. */
const OWN_HEADERS = new Set(['content-length', 'connection', 'date', 'keep-alive']);

let fixture: ListenerFixture;
let response: Buffer;
let peer: Server;
let client: NodeHttpClient;
const sockets: Socket[] = [];

function withoutOwn(headers: HttpHeaders): HttpHeaders {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !OWN_HEADERS.has(name)));
}

/** Passes the peer's response on, as a gateway does. */
const passOn: HttpHandler = async () => {
  const { status, headers, body } = await client.request({ method: 'GET', path: '/', headers: {} });
  return { status, headers: withoutOwn(headers), body };
};

beforeEach(async () => {
  fixture = new ListenerFixture();
  peer = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(response));
  });
  peer.listen(0, '127.0.0.1');
  await once(peer, 'listening');
  const { port } = peer.address() as AddressInfo;
  const bounds = { connections: 1, maximumResponseBytes: 64 };
  const times = { connectTimeout: 5_000, keepAliveTimeout: 30_000 };
  client = new NodeHttpClient({ host: '127.0.0.1', port }, { ...bounds, ...times });
});

afterEach(async () => {
  client.destroy();
  for (const socket of sockets.splice(0)) socket.destroy();
  peer.close();
  await fixture.stop();
});

describe('the header of a peer that is passed on', () => {
  // Guards against one byte beyond ASCII that ended the process and left the caller without a response.
  it('reaches the caller byte for byte, or as a typed error, whichever byte is spoilt', async () => {
    await fixture.start(passOn, { requestTimeout: 60_000 });
    const passed: string[] = [];
    for (let place = STATUS_LINE.length; place < RESPONSE.length - 2; place += 1) {
      response = Buffer.from(RESPONSE);
      response[place] = (response[place] ?? 0) | HIGH_BIT;
      const caller = await fixture.call(GET);
      const received = await caller.next();
      if (received?.status === 200) passed.push(received.header);
      else expect(errorOf(received)).toMatchObject({ code: 'failed' });
      caller.close();
    }
    // The caller's end reads Latin-1 and lower case.
    expect(passed.filter((header) => header.includes('x-mark: on\u{e5} two'))).toHaveLength(1);
  });

  // Guards against the end of the process where a handler returns what Node doesn't write.
  it.each([
    ['a character beyond Latin-1', { status: 200, headers: { 'x-mark': '\u{fffd}' }, body: '' }],
    ['a line break', { status: 200, headers: { 'x-mark': 'a\r\nb' }, body: '' }],
    ['a blank in a name', { status: 200, headers: { 'x mark': 'a' }, body: '' }],
    ['a status that is none', { status: 7, body: '' }],
  ])('is answered with a typed error if it has %s', async (_what, content) => {
    await fixture.start(async () => content);
    const caller = await fixture.call(GET);
    const received = await caller.next();
    expect(received?.status).toBe(500);
    expect(errorOf(received)).toMatchObject({ code: 'failed', mayHaveRun: true });
    expect(received?.header).not.toContain('mark');
  });
});
