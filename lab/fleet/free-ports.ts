/** Ports picked by the system for daemons that must know each other before they start. */
import { createServer, type AddressInfo, type Server } from 'node:net';
import type { Address } from '../../src/seams/address.js';

const HOST = '127.0.0.1';

function listen(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, HOST, () => resolve(server));
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}

/** Finds `count` different free ports; they are held together, then let go. */
export async function findFreePorts(count: number): Promise<Address[]> {
  const servers = await Promise.all(Array.from({ length: count }, listen));
  const addresses = servers.map((server) => ({
    host: HOST,
    port: (server.address() as AddressInfo).port,
  }));
  await Promise.all(servers.map(close));
  return addresses;
}
