/** Binds a server of Node to its address. */
import type { Server } from 'node:net';
import { AddressUnavailableError } from '../errors/address-unavailable-error.js';
import { ConnectionError } from '../errors/connection-error.js';
import { formatAddress, type Address } from '../seams/address.js';

/**
 * Node's codes for an address that may become available without a change to the settings. A port
 * that needs a privilege (EACCES) doesn't.
 */
const UNAVAILABLE_CODES = new Set(['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS']);

function listenError(address: Address, error: NodeJS.ErrnoException): ConnectionError {
  const place = formatAddress(address);
  return UNAVAILABLE_CODES.has(error.code ?? '')
    ? new AddressUnavailableError(place, error.message, error)
    : new ConnectionError('listen', place, error.message, error);
}

/**
 * Resolves once the server listens.
 *
 * @throws AddressUnavailableError when the same call may succeed later.
 * @throws ConnectionError when the address cannot be listened on.
 */
export function bindServer(server: Server, address: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    // Stays: an error in accepting a connection later concerns that connection only.
    server.on('error', (error) => reject(listenError(address, error)));
    server.listen(address.port, address.host, resolve);
  });
}
