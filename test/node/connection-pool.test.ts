import { createServer, type Server, type ServerResponse } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, expect, it } from 'vitest';
import type { HttpClientError } from '../../src/errors/http-client-error.js';
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

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Port 0 is any that is free. */
  async listen(port = 0): Promise<void> {
    this.server.on('connection', (socket: Socket) => {
      this.accepted += 1;
      this.sockets.add(socket);
    });
    this.server.listen(port, '127.0.0.1');
    await once(this.server, 'listening');
  }

  async start(connections: number): Promise<NodeHttpClient> {
    await this.listen();
    return new NodeHttpClient(
      { host: '127.0.0.1', port: this.port },
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

/** A port of this machine on which nothing listens. */
async function unusedPort(): Promise<number> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

it('fails each request when connections are refused while others wait for one', async () => {
  const client = new NodeHttpClient(
    { host: '127.0.0.1', port: await unusedPort() },
    { connections: 2, maximumResponseBytes: 64, connectTimeout: 5_000, keepAliveTimeout: 30_000 },
  );
  const outcomes = await Promise.allSettled(Array.from({ length: 9 }, () => get(client)));
  const kinds = outcomes.map((outcome) =>
    outcome.status === 'rejected' ? (outcome.reason as HttpClientError).kind : 'answered',
  );
  expect(kinds).toEqual(Array.from({ length: 9 }, () => 'connect_failed'));
  client.destroy();
});

it('serves what waits once a peer that went away accepts connections again', async () => {
  const held = peer.current;
  const client = await held.start(1);
  const first = get(client);
  await held.waitHeld(1);
  const waiting = [get(client), get(client)];
  const port = held.port;
  held.stop();
  const lost = await Promise.allSettled([first, ...waiting]);
  expect(lost.map(({ status }) => status)).toEqual(['rejected', 'rejected', 'rejected']);
  const returned = (peer.current = new HeldPeer());
  await returned.listen(port);
  const later = [get(client), get(client)];
  await returned.waitHeld(1);
  returned.answerAll();
  await returned.waitHeld(1);
  returned.answerAll();
  expect((await Promise.all(later)).map(({ status }) => status)).toEqual([200, 200]);
  client.destroy();
});
