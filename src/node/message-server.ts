/** Listens for, and opens, framed connections over TCP. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { ConnectionError } from '../errors/connection-error.js';
import { formatAddress, type Address } from '../seams/address.js';
import type { MessageConnection, MessageListener } from '../seams/message-connection.js';
import { bindServer } from './bind-server.js';
import { NodeMessageConnection } from './node-message-connection.js';
import type { SharedMemory } from './shared-memory.js';

/** Accepts framed connections; see `Network.listenMessages`. */
export async function listenMessages(
  address: Address,
  onConnection: (connection: MessageConnection) => Promise<void>,
  memory: SharedMemory,
): Promise<MessageListener> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    const connection = new NodeMessageConnection(socket, memory);
    onConnection(connection).then(
      () => connection.close(),
      () => connection.close(),
    );
  });
  await bindServer(server, address);
  const bound = server.address() as AddressInfo;
  return {
    address: { host: address.host, port: bound.port },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  };
}

/** Opens a framed connection; see `Network.connectMessages`. */
export function connectMessages(
  peer: Address,
  timeout: number,
  memory: SharedMemory,
): Promise<MessageConnection> {
  return new Promise((resolve, reject) => {
    const socket = connect({ host: peer.host, port: peer.port });
    const fail = (message: string, cause?: unknown): void => {
      socket.destroy();
      reject(new ConnectionError('connect', formatAddress(peer), message, cause));
    };
    const onError = (error: Error): void => fail(error.message, error);
    socket.setTimeout(timeout, () => fail(`no connection within ${timeout} ms`));
    socket.once('error', onError);
    socket.once('connect', () => {
      socket.setTimeout(0);
      socket.off('error', onError);
      resolve(new NodeMessageConnection(socket, memory));
    });
  });
}
