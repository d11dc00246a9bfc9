/** What a gateway answers at its health address: `/readyz`, `/livez` and `/metrics`. */
import type { Registry } from 'prom-client';
import type { HttpRequest, HttpResponse } from '../seams/http.js';

/** Bounds of the health listener. */
export const HEALTH_LISTENER_OPTIONS = {
  maximumBodyBytes: 1_024,
  maximumHeaderBytes: 8_192,
  requestTimeout: 5_000,
  maximumConnections: 100,
};

/** What decides whether the gateway calls itself ready. */
export interface HealthSources {
  readonly registry: Registry;
  readonly isStopping: () => boolean;
  readonly hasRoutes: () => boolean;
  /** Whether a controller that knew of a quorum lately is followed. */
  readonly isFresh: () => boolean;
  /** False while requests need API keys and none is accepted. */
  readonly acceptsKeys: () => boolean;
}

function textResponse(status: number, body: string): HttpResponse {
  return { status, headers: { 'content-type': 'text/plain' }, body };
}

/** See the module comment. */
export class HealthEndpoint {
  private wasReady = false;

  constructor(private readonly sources: HealthSources) {}

  async handle({ path }: HttpRequest): Promise<HttpResponse> {
    if (path === '/readyz') return this.readyz();
    if (path === '/livez') return textResponse(200, 'live\n');
    if (path === '/metrics') return textResponse(200, await this.sources.registry.metrics());
    return textResponse(404, 'no such path\n');
  }

  /** Once it was ready, being cut off from the controllers alone does not make it useless. */
  private readyz(): HttpResponse {
    const { isStopping, hasRoutes, isFresh, acceptsKeys } = this.sources;
    if (isStopping()) return textResponse(503, 'stopping\n');
    if (!hasRoutes()) return textResponse(503, 'no route document yet\n');
    if (!acceptsKeys()) return textResponse(503, 'API keys are not confirmed\n');
    this.wasReady ||= isFresh();
    return this.wasReady ? textResponse(200, 'ready\n') : textResponse(503, 'not fresh yet\n');
  }
}
