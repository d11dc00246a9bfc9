/** Errors that a listener itself answers, before any handler has seen the request. */
import { STATUS_CODES } from 'node:http';
import type { HttpResponse } from '../seams/http.js';
import type { BodyRefusal } from './request-body.js';

/** Node's name for a request that was not received in time. */
const REQUEST_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
/** The parser's name for too long a header block. */
const HEADER_OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW';
/** When to come back to a listener that has no room. Seconds. */
const RETRY_AFTER_SECONDS = '1';

function typedError(
  status: number,
  code: string,
  message: string,
  mayHaveRun = false,
): HttpResponse {
  return {
    status,
    headers: { 'content-type': 'application/json', connection: 'close' },
    body: JSON.stringify({ error: { code, message, mayHaveRun } }),
  };
}

/** The answer to a body that was refused. */
export function bodyRefusedResponse(refusal: BodyRefusal): HttpResponse {
  if (refusal === 'too_large') return typedError(413, 'bad_request', 'the body is too large');
  return noMemoryResponse();
}

/** The answer to a request that there is no memory for; it was not run. */
export function noMemoryResponse(): HttpResponse {
  const message = 'there is no memory for further requests now';
  const { headers, ...response } = typedError(503, 'refused_not_run', message);
  return { ...response, headers: { ...headers, 'retry-after': RETRY_AFTER_SECONDS } };
}

/** The answer when a handler failed; what it had done by then is not known. */
export function handlerFailedResponse(reason: string): HttpResponse {
  return typedError(500, 'failed', reason, true);
}

/** The answer to bytes that never became a whole request. */
export function brokenRequestResponse(code: string | undefined): HttpResponse {
  if (code === REQUEST_TIMEOUT_CODE) {
    return typedError(408, 'bad_request', 'the request was not received in time');
  }
  if (code === HEADER_OVERFLOW_CODE) {
    return typedError(431, 'bad_request', 'the header is too large');
  }
  return typedError(400, 'bad_request', 'this is not a valid HTTP request');
}

/** A response as it travels, for a connection that has no response object. */
export function writeRawResponse({ status, headers, body }: HttpResponse): string {
  const length = Buffer.byteLength(body);
  const fields = Object.entries({ ...headers, 'content-length': String(length) });
  const lines = fields.map(([name, value]) => `${name}: ${value}\r\n`);
  const statusLine = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n`;
  return `${statusLine}${lines.join('')}\r\n${body.toString()}`;
}
