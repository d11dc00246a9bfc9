/** Ports picked by the system for daemons that must know each other before they start. */
import { createServer, type AddressInfo, type Server } from 'node:net';
import type { Address } from '../../src/seams/address.js';

const LOOPBACK = '127.0.0.1';

function listen(host: string): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => resolve(server));
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}

/** Finds `count` different free ports of `host`; they are held together, then let go. */
export async function findFreePorts(count: number, host = LOOPBACK): Promise<Address[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => listen(host)));
  const addresses = servers.map((server) => ({
    host,
    port: (server.address() as AddressInfo).port,
  }));
  await Promise.all(servers.map(close));
  return addresses;
}
