import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server } from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { ENDLESS_ANSWERS } from '../../../lab/exchange/endless-answer.js';
import { LoopbackProxy, ProxyMode } from '../../../lab/soak/loopback-proxy.js';

const HOST = '127.0.0.1';
const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';
const ENDLESS_BYTES = 10_000_000;
const HEAD_BYTES = ANSWER.indexOf('\r\n\r\n');

let server: Server;
let proxy: LoopbackProxy;

async function freePort(): Promise<number> {
  const listener = createServer().listen(0, HOST);
  await once(listener, 'listening');
  const { port } = listener.address() as AddressInfo;
  listener.close();
  await once(listener, 'close');
  return port;
}

/** Sends a request and resolves with what arrives until the connection ends. */
async function ask(): Promise<string> {
  const socket = connect(proxy.address.port, HOST);
  let received = '';
  socket.on('data', (bytes) => (received += bytes.toString('latin1')));
  socket.on('error', () => undefined);
  socket.write('GET / HTTP/1.1\r\n\r\n');
  await once(socket, 'close');
  return received;
}

beforeEach(async () => {
  server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => socket.end(ANSWER));
  }).listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  proxy = await LoopbackProxy.start({ host: HOST, port }, { host: HOST, port: await freePort() });
});

afterEach(async () => {
  await proxy.close();
  server.close();
});

it('cuts each answer at another byte of its head', async () => {
  expect(await ask()).toBe(ANSWER);
  proxy.use(ProxyMode.CutAnswer);
  const lengths = new Set<number>();
  for (let cut = 0; cut < 12; cut += 1) {
    const received = await ask();
    expect(ANSWER.startsWith(received)).toBe(true);
    expect(received.length).toBeLessThan(HEAD_BYTES);
    lengths.add(received.length);
  }
  expect(lengths.size).toBeGreaterThan(6);
});

it.each(ENDLESS_ANSWERS)('sends %s until its caller closes', async (kind) => {
  proxy.useEndless(kind);
  const socket = connect(proxy.address.port, HOST);
  socket.write('GET / HTTP/1.1\r\n\r\n');
  for (let received = 0; received < ENDLESS_BYTES;) {
    const [bytes] = (await once(socket, 'data')) as [Buffer];
    if (received === 0) expect(bytes.toString('latin1')).not.toContain('content-length: 2\r\n');
    received += bytes.length;
  }
  socket.destroy();
  expect(proxy.endlessAnswerCount).toBe(1);
  proxy.useEndless(undefined);
  expect(await ask()).toBe(ANSWER);
});

// Guards against a soak that ends without a result: its proxies waited for a connection whose server
// had gone and whose client was silent.
it('closes although a client keeps its side of a connection open', async () => {
  const { port } = proxy.address;
  const socket = connect({ port, host: HOST, allowHalfOpen: true });
  socket.on('error', () => undefined);
  socket.resume().write('GET / HTTP/1.1\r\n\r\n');
  await once(socket, 'end');
  proxy.use(ProxyMode.Silent);
  await proxy.close();
  socket.destroy();
});
