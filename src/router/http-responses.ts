/** HTTP responses of the router's listener. */
import type { HttpResponse } from '../seams/http.js';
import { badRequest, type QueryError } from './query-error.js';

const JSON_TYPE = { 'content-type': 'application/json' };
const MILLISECONDS_PER_SECOND = 1_000;

/** An answer whose JSON text is already written. */
export function answerResponse(text: string): HttpResponse {
  return { status: 200, headers: JSON_TYPE, body: text };
}

/** A query's typed error, with `retry-after` in whole seconds where it makes sense. */
export function errorResponse(error: QueryError): HttpResponse {
  const { retryAfterMs } = error.details;
  const headers: Record<string, string> = { ...JSON_TYPE };
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND)));
  }
  return { status: error.status, headers, body: JSON.stringify(error.toBody()) };
}

/** The path is none of the router's. */
export function pathNotFound(): HttpResponse {
  return errorResponse(badRequest('there is no such path', undefined, 404));
}

/** The path takes queries, which are posted. */
export function methodNotAllowed(): HttpResponse {
  const { headers, ...response } = errorResponse(badRequest('use POST', undefined, 405));
  return { ...response, headers: { ...headers, allow: 'POST' } };
}

/** Plain text, for probes. */
export function textResponse(status: number, body: string, type = 'text/plain'): HttpResponse {
  return { status, headers: { 'content-type': type }, body };
}

/** `response` that also asks the caller to use another connection next time. */
export function withConnectionClose(response: HttpResponse): HttpResponse {
  return { ...response, headers: { ...response.headers, connection: 'close' } };
}
