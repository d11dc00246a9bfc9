/** The HTTP face of a controller: health and counters, and the administration API for the rest. */
import type { Registry } from 'prom-client';
import type { HttpHandler, HttpListenOptions, HttpResponse } from '../seams/http.js';
import type { Readiness } from './controller-readiness.js';
import { MAXIMUM_COMMAND_BYTES } from '../settings/configuration-command.js';

/** Bounds of the administration listener. */
export const CONTROLLER_HTTP_OPTIONS: HttpListenOptions = {
  // Above what the API takes, so that the API says by how much a body is too large.
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

/** Routes one request. */
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
