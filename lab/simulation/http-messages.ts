/** Whole HTTP messages as they travel over simulated sockets. */
import type { HttpHeaders } from '../../src/seams/http.js';

/** A request on the wire. */
export interface WireRequest {
  readonly method: string;
  /** Path and query string. */
  readonly target: string;
  readonly headers: HttpHeaders;
  readonly body: Uint8Array;
}

/** A response on the wire. */
export interface WireResponse {
  readonly status: number;
  readonly headers: HttpHeaders;
  readonly body: Uint8Array;
  /** The connection closes after it. */
  readonly lastOfConnection: boolean;
  /** The connection broke before the body was complete. */
  readonly truncated: boolean;
}

/** What the request or status line and the separators take. Bytes. */
const FIXED_LINE_BYTES = 32;
const SEPARATOR_BYTES = 4;
const EMPTY_BODY = new Uint8Array(0);

/** Size of a header block on the wire. Bytes. */
export function headerBytes(headers: HttpHeaders): number {
  let size = FIXED_LINE_BYTES;
  for (const name in headers) {
    size += name.length + (headers[name]?.length ?? 0) + SEPARATOR_BYTES;
  }
  return size;
}

/** Header names in lower case, values as they are. */
export function lowerCaseNames(headers: HttpHeaders | undefined): Record<string, string> {
  const result: Record<string, string> = {};
  for (const name in headers) result[name.toLowerCase()] ??= String(headers[name]);
  return result;
}

/** A body as bytes. */
export function toBytes(body: string | Uint8Array | undefined): Uint8Array {
  if (body === undefined) return EMPTY_BODY;
  return typeof body === 'string' ? Buffer.from(body) : body;
}
