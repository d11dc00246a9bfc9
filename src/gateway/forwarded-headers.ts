/** Separates end-to-end headers, which are forwarded, from hop-by-hop headers. */
import type { HttpHeaders } from '../seams/http.js';

/** Hop-by-hop headers, and `expect`, which the gateway has answered by reading the body. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);

/** Values of `connection` that name no other header. */
const ORDINARY_CONNECTIONS: ReadonlySet<string> = new Set(['keep-alive', 'close']);

function namedByConnection(headers: HttpHeaders): ReadonlySet<string> {
  const connection = headers['connection'];
  if (connection === undefined) return CONNECTION_HEADERS;
  if (ORDINARY_CONNECTIONS.has(connection)) return CONNECTION_HEADERS;
  const named = connection.split(',').map((name) => name.trim().toLowerCase());
  return new Set([...CONNECTION_HEADERS, ...named]);
}

/** Copies the headers that are forwarded; those that `connection` names are left out as well. */
export function endToEndHeaders(headers: HttpHeaders): Record<string, string> {
  const dropped = namedByConnection(headers);
  const kept: Record<string, string> = {};
  for (const name in headers) {
    const value = headers[name];
    if (value !== undefined && !dropped.has(name)) kept[name] = value;
  }
  return kept;
}
