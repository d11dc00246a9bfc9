import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import fc from 'fast-check';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { HttpClientError } from '../../src/errors/http-client-error.js';
import { NodeHttpClient } from '../../src/node/node-http-client.js';
import { GET, ListenerFixture } from './support/listener-fixture.js';
import {
  oddMessage,
  REQUEST_LINES,
  sendOddMessage,
  STATUS_LINES,
  type OddMessage,
} from './support/odd-message.js';

const SEED = 65;
const RUNS = 300;

/** Errors that would end a daemon. */
const uncaught: unknown[] = [];
const onUncaught = (error: unknown): void => void uncaught.push(error);

beforeAll(() => {
  process.prependListener('uncaughtException', onUncaught);
  process.prependListener('unhandledRejection', onUncaught);
});

afterAll(() => {
  process.off('uncaughtException', onUncaught);
  process.off('unhandledRejection', onUncaught);
});

describe('a replica that answers with odd bytes', () => {
  let server: Server;
  let answer: OddMessage;
  const sockets = new Set<Socket>();

  beforeAll(async () => {
    server = createServer({ allowHalfOpen: true }, (socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined).once('close', () => sockets.delete(socket));
      socket.on('data', () => void sendOddMessage(socket, answer));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterAll(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });

  // Guards against an answer that throws in a callback of the client library, which ends the process.
  it('fails its request only', async () => {
    const { port } = server.address() as AddressInfo;
    const options = { connections: 2, connectTimeout: 5_000, keepAliveTimeout: 1_000 };
    const request = { path: '/', headers: {} };
    await fc.assert(
      fc.asyncProperty(
        oddMessage(STATUS_LINES),
        fc.constantFrom('GET', 'HEAD', 'POST'),
        fc.boolean(),
        async (message, method, freshConnection) => {
          answer = message;
          const address = { host: '127.0.0.1', port };
          const client = new NodeHttpClient(address, { ...options, maximumResponseBytes: 1_024 });
          const outcomes = await Promise.all(
            [1, 2, 3].map((number) => {
              const signal = AbortSignal.timeout(20 * number);
              const sent = client.request({ ...request, method, freshConnection, signal });
              return sent.catch((error: unknown) => error);
            }),
          );
          client.destroy();
          for (const outcome of outcomes) {
            if (outcome instanceof Error) expect(outcome).toBeInstanceOf(HttpClientError);
          }
          expect(uncaught).toEqual([]);
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });
});

describe('a caller that sends odd bytes', () => {
  let fixture: ListenerFixture;

  afterEach(() => fixture.stop());

  it('loses its own connection at most', async () => {
    fixture = new ListenerFixture();
    await fixture.start();
    await fc.assert(
      fc.asyncProperty(oddMessage(REQUEST_LINES), async (message) => {
        const { socket } = await fixture.call('');
        await sendOddMessage(socket, message);
        await new Promise((resolve) => setTimeout(resolve, 1));
        socket.destroy();
        expect(uncaught).toEqual([]);
      }),
      { seed: SEED, numRuns: RUNS },
    );
    const caller = await fixture.call(GET);
    expect((await caller.next())?.status).toBe(200);
  });
});
