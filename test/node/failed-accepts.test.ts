import { constants } from 'node:os';
import { connect, Server } from 'node:net';
import { once } from 'node:events';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { NodeNetwork } from '../../src/node/node-network.js';
import type { Address } from '../../src/seams/address.js';

/** What the system answers when it has no memory, or no descriptor in the whole machine, for a connection. */
const ACCEPT_ERRORS = [constants.errno.ENFILE, constants.errno.ENOBUFS, constants.errno.ENOMEM];
const LOOPBACK = { host: '127.0.0.1', port: 0 };
const HTTP_OPTIONS = {
  maximumBodyBytes: 1_024,
  maximumHeaderBytes: 2_048,
  requestTimeout: 5_000,
  maximumConnections: 10,
};

/** Part of Node's server that libuv calls for each connection, or for an error in place of one. */
interface ServerInternals {
  readonly _handle: { onconnection(status: number): void };
}

interface Listening {
  readonly address: Address;
  close(): Promise<void>;
}

let listening: Listening;

afterEach(async () => {
  vi.restoreAllMocks();
  await listening.close();
});

const LISTENERS: Readonly<Record<string, () => Promise<Listening>>> = {
  'for messages': () =>
    new NodeNetwork().listenMessages(LOOPBACK, async (connection) => {
      await connection.closed;
    }),
  'for HTTP': () =>
    new NodeNetwork().listenHttp(LOOPBACK, HTTP_OPTIONS, async () => ({ status: 200, body: '' })),
};

describe.each(Object.entries(LISTENERS))('a listener %s', (_kind, listen) => {
  // Guards against an 'error' event that nobody listens to, which ends the process.
  it('goes on after connections that the system could not accept', async () => {
    const listenSpy = vi.spyOn(Server.prototype, 'listen');
    listening = await listen();
    const server = listenSpy.mock.contexts[0] as ServerInternals;
    for (const errno of ACCEPT_ERRORS) {
      expect(() => server._handle.onconnection(-errno)).not.toThrow();
    }
    const { host, port } = listening.address;
    const caller = connect({ host, port });
    await once(caller, 'connect');
    caller.destroy();
  });
});
