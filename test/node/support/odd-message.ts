/** Bytes that resemble HTTP messages but break its rules in one place or another. */
import type { Socket } from 'node:net';
import fc from 'fast-check';

export const STATUS_LINES = [
  'HTTP/1.1 200 OK\r\n',
  'HTTP/1.1 200\r\n',
  'HTTP/1.0 200 OK\r\n',
  'HTTP/1.1 204 No Content\r\n',
  'HTTP/1.1 304 Not Modified\r\n',
  'HTTP/1.1 100 Continue\r\n',
  'HTTP/1.1 101 Switching Protocols\r\n',
  'HTTP/1.1 102 Processing\r\n',
  'HTTP/1.1 103 Early Hints\r\n',
  'HTTP/1.1 199 \r\n',
  'HTTP/1.1 000 None\r\n',
  'HTTP/1.1 999 Odd\r\n',
  'HTTP/1.1 65536 Odd\r\n',
  'HTTP/2.0 200 OK\r\n',
  'HTTP/9.9 200 OK\r\n',
  'ICY 200 OK\r\n',
  'GET / HTTP/1.1\r\n',
  '\r\n',
  '\n',
] as const;

const HEADER_LINES = [
  'content-length: 0\r\n',
  'content-length: 5\r\n',
  'content-length: -1\r\n',
  'content-length: 18446744073709551616\r\n',
  'content-length: 5, 5\r\n',
  'content-length:\r\n',
  'transfer-encoding: chunked\r\n',
  'transfer-encoding: gzip, chunked\r\n',
  'transfer-encoding: chunked, identity\r\n',
  'transfer-encoding:\r\n',
  'connection: close\r\n',
  'connection: keep-alive\r\n',
  'connection: upgrade\r\nupgrade: websocket\r\n',
  'upgrade: h2c\r\n',
  'keep-alive: timeout=0\r\n',
  'keep-alive: timeout=-1\r\n',
  'keep-alive: timeout=99999999999\r\n',
  'keep-alive: \r\n',
  'expect: 100-continue\r\n',
  'trailer: x\r\n',
  'x:\r\n',
  ': x\r\n',
  ' folded\r\n',
  'x: \0\r\n',
  'x: \x7f\xff\r\n',
  '__proto__: x\r\n',
  'constructor: x\r\n',
  'host: \r\n',
  'content-type: \xe2\x82\xac\r\n',
] as const;

const BODIES = [
  '',
  'hello',
  'hello, and more than was announced',
  '5\r\nhello\r\n0\r\n\r\n',
  '5\r\nhello\r\n0\r\nx: y\r\n\r\n',
  '5;a="b"\r\nhello\r\n0\r\n: \r\n\r\n',
  'fffffffffffffffff\r\n',
  '-1\r\nx\r\n',
  '0\r\n',
  '\r\n\r\n',
  'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n',
] as const;

export const REQUEST_LINES = [
  'GET / HTTP/1.1\r\n',
  'GET * HTTP/1.1\r\n',
  'OPTIONS * HTTP/1.1\r\n',
  'GET http://[::1 HTTP/1.1\r\n',
  'GET // HTTP/1.1\r\n',
  'GET /%ff%00 HTTP/1.1\r\n',
  'GET /\xff HTTP/1.1\r\n',
  'CONNECT host:1 HTTP/1.1\r\n',
  'POST / HTTP/1.1\r\n',
  'POST / HTTP/1.0\r\n',
  'HEAD / HTTP/1.1\r\n',
  'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
  'QUERY / HTTP/1.1\r\n',
  'get / http/1.1\r\n',
  '\r\n',
] as const;

/** How the sender ends its part. */
export type Ending = 'close' | 'half-close' | 'reset' | 'wait';

export interface OddMessage {
  readonly bytes: Buffer;
  readonly cuts: readonly number[];
  readonly ending: Ending;
}

export function oddMessage(firstLines: readonly string[]): fc.Arbitrary<OddMessage> {
  const head = fc.tuple(
    fc.constantFrom(...firstLines),
    fc.array(fc.constantFrom(...HEADER_LINES), { maxLength: 4 }),
    fc.constantFrom('\r\n', '\r\n', '\r\n', '\n', ''),
    fc.constantFrom(...BODIES),
  );
  const messages = fc.array(head, { minLength: 1, maxLength: 3 });
  const noise = fc.uint8Array({ maxLength: 40 });
  const text = messages.map((all) =>
    all.map(([first, lines, end, body]) => `${first}${lines.join('')}${end}${body}`).join(''),
  );
  const bytes = fc
    .tuple(text, noise, fc.boolean(), fc.nat({ max: 400 }), fc.boolean())
    .map(([whole, extra, hasNoise, length, isCut]) => {
      const sent = Buffer.from(whole, 'latin1');
      const kept = isCut ? sent.subarray(0, length) : sent;
      return hasNoise ? Buffer.concat([kept, extra]) : kept;
    });
  return fc.record({
    bytes,
    cuts: fc.array(fc.nat({ max: 400 }), { maxLength: 3 }),
    ending: fc.constantFrom<Ending>('close', 'half-close', 'reset', 'wait'),
  });
}

const nextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Sends the parts of the message one after the other. */
export async function sendOddMessage(socket: Socket, message: OddMessage): Promise<void> {
  const { bytes, cuts, ending } = message;
  const places = [0, ...cuts.filter((cut) => cut < bytes.length), bytes.length];
  places.sort((left, right) => left - right);
  for (const [index, place] of places.entries()) {
    if (socket.destroyed || socket.writableEnded) return;
    socket.write(bytes.subarray(place, places[index + 1] ?? place));
    await nextTurn();
  }
  if (ending === 'close') socket.destroy();
  if (ending === 'half-close') socket.end();
  if (ending === 'reset') socket.resetAndDestroy();
}
