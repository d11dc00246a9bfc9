/**
 * HTTP handler of a controller: health checks, metrics, and the administration API for all other
 * paths.
 */
import type { Registry } from 'prom-client';
import type { HttpHandler, HttpListenOptions, HttpResponse } from '../seams/http.js';
import type { Readiness } from './controller-readiness.js';
import { MAXIMUM_COMMAND_BYTES } from '../settings/configuration-command.js';

/** Limits of the administration listener. Times are in milliseconds. */
export const CONTROLLER_HTTP_OPTIONS: HttpListenOptions = {
  // Above the API's own limit, so that the API can report the size of a body that is too large.
  maximumBodyBytes: 2 * MAXIMUM_COMMAND_BYTES,
  maximumHeaderBytes: 16_384,
  requestTimeout: 10_000,
  maximumConnections: 1_000,
};

const JSON_HEADERS = { 'content-type': 'application/json' };

function readinessResponse(readiness: Readiness): HttpResponse {
  return {
    status: readiness.ready ? 200 : 503,
    headers: JSON_HEADERS,
    body: JSON.stringify(readiness),
  };
}

/** Creates the handler; health checks and metrics need no token. */
export function createControllerHandler(
  registry: Registry,
  readReadiness: () => Readiness,
  administration: HttpHandler,
): HttpHandler {
  return async (request) => {
    switch (request.path) {
      case '/livez':
        return { status: 200, headers: JSON_HEADERS, body: '{"live":true}' };
      case '/readyz':
        return readinessResponse(readReadiness());
      case '/metrics':
        return {
          status: 200,
          headers: { 'content-type': registry.contentType },
          body: await registry.metrics(),
        };
      default:
        return administration(request);
    }
  };
}
