import { createServer, type Server, type ServerResponse } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, expect, it } from 'vitest';
import { NodeHttpClient } from '../../src/node/node-http-client.js';
import type { HttpClientResponse } from '../../src/seams/http.js';

/** A peer that answers when the test says so, and counts the connections it accepted. */
class HeldPeer {
  readonly held: ServerResponse[] = [];
  accepted = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server = createServer((_request, response) => {
    this.held.push(response);
  });

  async start(connections: number): Promise<NodeHttpClient> {
    this.server.on('connection', (socket: Socket) => {
      this.accepted += 1;
      this.sockets.add(socket);
    });
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const { port } = this.server.address() as AddressInfo;
    return new NodeHttpClient(
      { host: '127.0.0.1', port },
      { connections, maximumResponseBytes: 64, connectTimeout: 5_000, keepAliveTimeout: 30_000 },
    );
  }

  /** Resolves once `count` requests wait for their answers. */
  async waitHeld(count: number): Promise<void> {
    while (this.held.length < count) await new Promise((resolve) => setImmediate(resolve));
  }

  async waitAccepted(count: number): Promise<void> {
    while (this.accepted < count) await new Promise((resolve) => setImmediate(resolve));
  }

  answerAll(): void {
    for (const response of this.held.splice(0)) response.end('ok');
  }

  stop(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

const peer = { current: new HeldPeer() };

afterEach(() => {
  peer.current.stop();
  peer.current = new HeldPeer();
});

function get(client: NodeHttpClient, signal?: AbortSignal): Promise<HttpClientResponse> {
  return client.request({
    method: 'GET',
    path: '/',
    headers: {},
    ...(signal === undefined ? {} : { signal }),
  });
}

it('uses an open connection that rests before it opens another', async () => {
  const held = peer.current;
  const client = await held.start(8);
  const cancelled = new AbortController();
  const first = get(client, cancelled.signal).catch(() => undefined);
  await held.waitHeld(1);
  const second = get(client);
  await held.waitHeld(2);
  held.held.pop()?.end('ok');
  await second;
  // The second connection rests open; the first one closes with its request.
  cancelled.abort();
  await first;
  held.answerAll();
  for (let round = 0; round < 5; round += 1) {
    const next = get(client);
    await held.waitHeld(1);
    held.answerAll();
    await next;
  }
  expect(held.accepted).toBe(2);
  client.destroy();
});

it('opens its only connection again at once when the request on it was aborted', async () => {
  const held = peer.current;
  const client = await held.start(8);
  const cancelled = new AbortController();
  const first = get(client, cancelled.signal).catch(() => undefined);
  await held.waitHeld(1);
  cancelled.abort();
  await first;
  await held.waitAccepted(2);
  expect(held.held).toHaveLength(1);
  client.destroy();
});

it('lets requests beyond its connections wait, and answers them all', async () => {
  const held = peer.current;
  const client = await held.start(2);
  const answers = Array.from({ length: 5 }, () => get(client));
  for (const waitingAtOnce of [2, 2, 1]) {
    await held.waitHeld(waitingAtOnce);
    held.answerAll();
  }
  const statuses = (await Promise.all(answers)).map(({ status }) => status);
  expect(statuses).toEqual([200, 200, 200, 200, 200]);
  expect(held.accepted).toBe(2);
  await client.close();
});

it('answers what waits before it closes', async () => {
  const held = peer.current;
  const client = await held.start(1);
  const answers = [get(client), get(client)];
  await held.waitHeld(1);
  const closed = client.close();
  held.answerAll();
  await held.waitHeld(1);
  held.answerAll();
  expect((await Promise.all(answers)).map(({ status }) => status)).toEqual([200, 200]);
  await closed;
});

it('fails what waits when it is destroyed', async () => {
  const held = peer.current;
  const client = await held.start(1);
  const answers = [get(client), get(client)];
  await held.waitHeld(1);
  client.destroy();
  const outcomes = await Promise.allSettled(answers);
  expect(outcomes.map(({ status }) => status)).toEqual(['rejected', 'rejected']);
});
