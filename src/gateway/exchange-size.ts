/** Approximate sizes of HTTP messages, for the account of what leaves the zone. */
import type { HttpClientRequest, HttpClientResponse, HttpHeaders } from '../seams/http.js';

/** Colon, space and line end of a header. Bytes. */
const HEADER_SEPARATORS_BYTES = 4;
/** Version, status or method and the line ends around the header block. Bytes. */
const START_LINE_BYTES = 20;

function sizeOfHeaders(headers: HttpHeaders): number {
  let bytes = START_LINE_BYTES;
  for (const [name, value] of Object.entries(headers)) {
    bytes += name.length + value.length + HEADER_SEPARATORS_BYTES;
  }
  return bytes;
}

/** Bytes. */
export function sizeOfRequest({ path, headers, body }: HttpClientRequest): number {
  return path.length + sizeOfHeaders(headers) + (body?.length ?? 0);
}

/** Bytes. */
export function sizeOfResponse({ headers, body }: HttpClientResponse): number {
  return sizeOfHeaders(headers) + body.length;
}
