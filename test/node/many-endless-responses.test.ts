import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { HttpClientError } from '../../src/errors/http-client-error.js';
import { divideMemory } from '../../src/node/memory-budgets.js';
import { NodeNetwork } from '../../src/node/node-network.js';
import type { HttpClient } from '../../src/seams/http.js';

/** An eighth of it is for responses. */
const MEMORY_LIMIT_BYTES = 2 * 1024 * 1024;
const REQUESTS = 32;
/** Sent of each body before its peer falls silent; all of them together are four times the budget. */
const PART_BYTES = 32 * 1024;
const UNFINISHED = `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffff\r\n${'z'.repeat(PART_BYTES)}`;
const LARGE_BYTES = 100 * 1024;
const LARGE = `HTTP/1.1 200 OK\r\ncontent-length: ${LARGE_BYTES}\r\n\r\n${'y'.repeat(LARGE_BYTES)}`;
/** Heads and trailers of many short lines; their connections stay open. */
const UNFINISHED_LINES = {
  heads: `HTTP/1.1 200 OK\r\n${'a:\r\n'.repeat(7_500)}`,
  trailers: `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n${'a:\r\n'.repeat(15_000)}`,
};
const GET = { method: 'GET', path: '/', headers: {} };

let network: NodeNetwork;
const servers: Server[] = [];
const sockets: Socket[] = [];
const clients: HttpClient[] = [];

beforeEach(() => {
  network = new NodeNetwork(divideMemory(MEMORY_LIMIT_BYTES));
});

afterEach(() => {
  for (const client of clients.splice(0)) client.destroy();
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const server of servers.splice(0)) server.close();
});

/** A client of a peer that answers each request with `reply` and keeps the connection open. */
async function clientOf(reply: string): Promise<HttpClient> {
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(reply));
  });
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const client = network.httpClient(
    { host: '127.0.0.1', port },
    {
      connections: REQUESTS,
      maximumResponseBytes: 1024 * 1024,
      connectTimeout: 5_000,
      keepAliveTimeout: 30_000,
    },
  );
  clients.push(client);
  return client;
}

/** Resolves once so many of `REQUESTS` requests failed that the others fit into the budget. */
async function failMostOf(client: HttpClient): Promise<readonly unknown[]> {
  const kept = Math.floor(network.budgets.responses.limit / PART_BYTES);
  const failures: unknown[] = [];
  await new Promise<void>((resolve) => {
    for (let request = 0; request < REQUESTS; request += 1) {
      client.request(GET).catch((error: unknown) => {
        failures.push(error);
        if (failures.length === REQUESTS - kept) resolve();
      });
    }
  });
  return failures;
}

describe('responses that never end, on many connections', () => {
  // Guards against a bound for each response and none for all: a process then holds as much as its peers like.
  it('hold no more than the budget together', async () => {
    const failures = await failMostOf(await clientOf(UNFINISHED));
    for (const failure of failures) {
      expect(failure).toBeInstanceOf(HttpClientError);
      expect(failure).toMatchObject({ kind: 'memory_exhausted', requestSent: true });
    }
    const { heldBytes, limit } = network.budgets.responses;
    expect(heldBytes).toBeGreaterThan(0);
    expect(heldBytes).toBeLessThanOrEqual(limit);
  });

  // Guards against giving up the newcomer: faulty peers would take the requests to others with them.
  it('make room for the response of another peer, even one that is larger than each of them', async () => {
    await failMostOf(await clientOf(UNFINISHED));
    const healthy = await clientOf(LARGE);
    const { body } = await healthy.request(GET);
    expect(body.length).toBe(LARGE_BYTES);
  });

  it('hold nothing once their requests have ended', async () => {
    const faulty = await clientOf(UNFINISHED);
    await failMostOf(faulty);
    const abort = new AbortController();
    const last = faulty.request({ ...GET, signal: abort.signal }).catch(() => undefined);
    abort.abort();
    await last;
    for (const client of clients) client.destroy();
    for (const socket of sockets) if (!socket.destroyed) await once(socket, 'close');
    expect(network.budgets.responses.heldBytes).toBe(0);
  });
});

describe('lines that never end, on many connections', () => {
  // Guards against objects on the heap that the bytes of the lines don't tell of.
  it.each(Object.entries(UNFINISHED_LINES))(
    'in %s hold no more than the budget',
    async (_, reply) => {
      const peer = await clientOf(reply);
      const requests = Array.from({ length: REQUESTS }, () => peer.request(GET));
      const results = await Promise.allSettled(requests);
      for (const result of results) {
        expect(result).toMatchObject({ status: 'rejected', reason: { kind: 'memory_exhausted' } });
      }
      expect(network.budgets.responses.heldBytes).toBe(0);
    },
  );
});

describe('a body of one byte', () => {
  // Guards against a view of a read that holds all of it.
  it('does not hold the memory of the head that came with it', async () => {
    const padding = `x: ${'p'.repeat(8_000)}\r\n`;
    const peer = await clientOf(`HTTP/1.1 200 OK\r\n${padding}content-length: 1\r\n\r\nz`);
    const { body } = await peer.request(GET);
    expect(body.buffer.byteLength).toBeLessThan(2_000);
  });
});
