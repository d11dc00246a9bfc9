import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { afterEach, describe, expect, it } from 'vitest';
import { NodeHttpClient } from '../../src/node/node-http-client.js';

const MAXIMUM_RESPONSE_BYTES = 64;
const HEAD_OF_ENDLESS_BODY = 'HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n';

let server: Server;
let client: NodeHttpClient;
const sockets: Socket[] = [];

/** A peer that answers each request with `reply` and keeps the connection open. */
async function startPeer(reply: string): Promise<void> {
  server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(reply));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  client = new NodeHttpClient(
    { host: '127.0.0.1', port },
    {
      connections: 1,
      maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
      connectTimeout: 5_000,
      keepAliveTimeout: 30_000,
    },
  );
}

afterEach(() => {
  client.destroy();
  server.close();
  for (const socket of sockets.splice(0)) socket.destroy();
});

describe('a response whose head announces a length that is not allowed', () => {
  // Guards against reading such a body up to the bound: the peer sends none of it here, so the request would not end.
  it('is refused at its head', async () => {
    await startPeer(HEAD_OF_ENDLESS_BODY);
    const request = client.request({ method: 'GET', path: '/', headers: {} });
    await expect(request).rejects.toMatchObject({ kind: 'response_too_large', requestSent: true });
    const [socket] = sockets;
    if (socket?.destroyed === false) await once(socket, 'close');
  });

  it('is accepted where the length announces no body', async () => {
    await startPeer(HEAD_OF_ENDLESS_BODY);
    const response = await client.request({ method: 'HEAD', path: '/', headers: {} });
    expect(response).toMatchObject({ status: 200, body: Buffer.alloc(0) });
  });
});
