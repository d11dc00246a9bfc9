// Guards against bodies that are changed, cut or swapped because their chunks are parsed in several turns.
import { connect } from 'node:net';
import { afterEach, expect, it } from 'vitest';
import { NodeNetwork } from '../../src/node/node-network.js';
import type { HttpListener, HttpRequest } from '../../src/seams/http.js';

/** Several turns of them. */
const CHUNKS = 5_000;
const CALLERS = 8;
const OPTIONS = {
  maximumBodyBytes: 16_384,
  maximumHeaderBytes: 16_384,
  requestTimeout: 30_000,
  maximumConnections: 64,
};
const HEAD = ['POST /take HTTP/1.1', 'host: desk.example', 'transfer-encoding: chunked', '', ''];
const NEXT = ['GET /next HTTP/1.1', 'host: desk.example', 'connection: close', '', ''].join('\r\n');

let listener: HttpListener;

afterEach(() => listener.close());

function bodyOf(caller: number): string {
  return Array.from({ length: CHUNKS }, (_, at) => String((at * 7 + caller) % 10)).join('');
}

function inChunksOfOneByte(body: string): string {
  return `${[...body].map((byte) => `1\r\n${byte}\r\n`).join('')}0\r\n\r\n`;
}

async function listen(): Promise<void> {
  const handler = (request: HttpRequest) =>
    Promise.resolve({ status: 200, body: request.path === '/next' ? 'next' : request.body });
  listener = await new NodeNetwork().listenHttp({ host: '127.0.0.1', port: 0 }, OPTIONS, handler);
}

/** All that the listener sends until it closes the connection. */
function exchange(bytes: string, end: boolean): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect({ ...listener.address, allowHalfOpen: true });
    let received = '';
    socket.on('error', reject);
    socket.on('data', (part: Buffer) => (received += part.toString('latin1')));
    socket.once('close', () => resolve(received));
    socket.once('end', () => socket.end());
    if (end) socket.end(bytes);
    else socket.write(bytes);
  });
}

it('each caller gets the answer to its own body, and to the request that it sent ahead', async () => {
  await listen();
  const callers = Array.from({ length: CALLERS }, (_, caller) => bodyOf(caller));
  const answers = await Promise.all(
    callers.map((body) => exchange(`${HEAD.join('\r\n')}${inChunksOfOneByte(body)}${NEXT}`, false)),
  );
  for (const [caller, answer] of answers.entries()) {
    expect(answer).toContain(`\r\n\r\n${bodyOf(caller)}HTTP/1.1 200 OK`);
    expect(answer.endsWith('\r\n\r\nnext')).toBe(true);
  }
});

it('a caller that ends its side after its body gets its answer', async () => {
  await listen();
  const body = bodyOf(0);
  const answer = await exchange(`${HEAD.join('\r\n')}${inChunksOfOneByte(body)}`, true);
  expect(answer.endsWith(`\r\n\r\n${body}`)).toBe(true);
});
