/** Where a process listens: an IP number and a TCP port. */
export interface Address {
  readonly host: string;
  /** 0 in a listen call asks the system to pick one. */
  readonly port: number;
}

/** `host:port`, as printed in logs and used as a map key. */
export function formatAddress(address: Address): string {
  return `${address.host}:${address.port}`;
}

/**
 * Reads `host:port`.
 *
 * @throws RangeError when the text is not an IP number or name with a port.
 */
export function parseAddress(text: string): Address {
  const separator = text.lastIndexOf(':');
  const portText = text.slice(separator + 1);
  const port = Number(portText);
  // An empty text would be the number 0.
  if (separator <= 0 || !/^\d+$/.test(portText) || port > 65_535) {
    throw new RangeError(`"${text}" is not an address; write host:port, such as 127.0.0.1:7400`);
  }
  return { host: text.slice(0, separator), port };
}
