/** Approximate sizes of HTTP messages, for the metrics of traffic that leaves the zone. */
import type { HttpClientRequest, HttpClientResponse, HttpHeaders } from '../seams/http.js';

/** Colon, space and line break of a header. Bytes. */
const HEADER_SEPARATORS_BYTES = 4;
/** HTTP version, method or status, and the line breaks around the header block. Bytes. */
const START_LINE_BYTES = 20;

function sizeOfHeaders(headers: HttpHeaders): number {
  let bytes = START_LINE_BYTES;
  for (const [name, value] of Object.entries(headers)) {
    bytes += name.length + value.length + HEADER_SEPARATORS_BYTES;
  }
  return bytes;
}

/** Approximate size of a request. Bytes. */
export function sizeOfRequest({ path, headers, body }: HttpClientRequest): number {
  return path.length + sizeOfHeaders(headers) + (body?.length ?? 0);
}

/** Approximate size of a response. Bytes. */
export function sizeOfResponse({ headers, body }: HttpClientResponse): number {
  return sizeOfHeaders(headers) + body.length;
}
