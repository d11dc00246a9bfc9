/** A request of Node's `http` as handlers see it. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import type { HttpHeaders, HttpRequest } from '../seams/http.js';

function flattenHeaders(headers: IncomingHttpHeaders): HttpHeaders {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    flat[name] = typeof value === 'string' ? value : (value[0] ?? '');
  }
  return flat;
}

function isRepeated({ rawHeaders }: IncomingMessage, name: string): boolean {
  const names = rawHeaders.filter((_, index) => index % 2 === 0);
  return names.filter((sent) => sent.toLowerCase() === name).length > 1;
}

/** The request with its body; what only the connection knows is left out. */
export function toRequest(
  message: IncomingMessage,
  body: Buffer,
): Omit<HttpRequest, 'signal' | 'newConnection'> {
  const target = message.url ?? '/';
  const separator = target.indexOf('?');
  return {
    method: message.method ?? 'GET',
    path: separator < 0 ? target : target.slice(0, separator),
    query: new URLSearchParams(separator < 0 ? '' : target.slice(separator + 1)),
    target,
    headers: flattenHeaders(message.headers),
    isRepeated: (name) => isRepeated(message, name),
    body,
    remoteAddress: message.socket.remoteAddress ?? '',
  };
}
