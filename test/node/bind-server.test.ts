import { createServer, type AddressInfo, type Server } from 'node:net';
import { afterEach, expect, it } from 'vitest';
import { AddressUnavailableError } from '../../src/errors/address-unavailable-error.js';
import { bindServer } from '../../src/node/bind-server.js';

const HOST = '127.0.0.1';
/** Reserved for documentation: no interface has it. */
const FOREIGN_HOST = '192.0.2.1';
let servers: Server[] = [];

function newServer(): Server {
  const server = createServer();
  servers.push(server);
  return server;
}

afterEach(() => {
  for (const server of servers) server.close();
  servers = [];
});

it('an address that another server holds may become available', async () => {
  const holder = newServer();
  await bindServer(holder, { host: HOST, port: 0 });
  const { port } = holder.address() as AddressInfo;
  const bound = bindServer(newServer(), { host: HOST, port });
  await expect(bound).rejects.toBeInstanceOf(AddressUnavailableError);
});

it('an address that no interface has may become available', async () => {
  const bound = bindServer(newServer(), { host: FOREIGN_HOST, port: 0 });
  await expect(bound).rejects.toBeInstanceOf(AddressUnavailableError);
});

it('errors in accepting connections are no uncaught errors', async () => {
  const server = newServer();
  await bindServer(server, { host: HOST, port: 0 });
  server.emit('error', new Error('accept ENOBUFS'));
  expect(() => server.emit('error', new Error('accept ENOBUFS'))).not.toThrow();
});
