/** Builds the HTTP responses of the router's listener. */
import type { HttpResponse } from '../seams/http.js';
import { badRequest, type QueryError } from './query-error.js';

const JSON_TYPE = { 'content-type': 'application/json' };
const MILLISECONDS_PER_SECOND = 1_000;

/** Response to an answered query; `text` is the JSON of the answer. */
export function answerResponse(text: string): HttpResponse {
  return { status: 200, headers: JSON_TYPE, body: text };
}

/** Response for a query error, with `retry-after` in whole seconds when the error has a retry time. */
export function errorResponse(error: QueryError): HttpResponse {
  const { retryAfterMs } = error.details;
  const headers: Record<string, string> = { ...JSON_TYPE };
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND)));
  }
  return { status: error.status, headers, body: JSON.stringify(error.toBody()) };
}

/** Response to a request for a path that the router does not serve. */
export function pathNotFound(): HttpResponse {
  return errorResponse(badRequest('there is no such path', undefined, 404));
}

/** Response to a request for a query path with a method other than POST. */
export function methodNotAllowed(): HttpResponse {
  const { headers, ...response } = errorResponse(badRequest('use POST', undefined, 405));
  return { ...response, headers: { ...headers, allow: 'POST' } };
}

/** Plain text response, for probes and metrics. */
export function textResponse(status: number, body: string, type = 'text/plain'): HttpResponse {
  return { status, headers: { 'content-type': type }, body };
}

/** Adds `connection: close`, so that the caller sends its next request on another connection. */
export function withConnectionClose(response: HttpResponse): HttpResponse {
  return { ...response, headers: { ...response.headers, connection: 'close' } };
}
