/** Serves the gateway's health address: `/readyz`, `/livez` and `/metrics`. */
import type { Registry } from 'prom-client';
import type { HttpRequest, HttpResponse } from '../seams/http.js';

/** Limits of the health listener. Sizes in bytes, times in milliseconds. */
export const HEALTH_LISTENER_OPTIONS = {
  maximumBodyBytes: 1_024,
  maximumHeaderBytes: 8_192,
  requestTimeout: 5_000,
  maximumConnections: 100,
};

/** State on which readiness depends. */
export interface HealthSources {
  readonly isStopping: () => boolean;
  readonly hasRoutes: () => boolean;
  /** Whether the gateway follows a controller that had contact with a quorum recently. */
  readonly isFresh: () => boolean;
  /** False while requests need API keys and the gateway accepts none. */
  readonly acceptsKeys: () => boolean;
}

function textResponse(status: number, body: string): HttpResponse {
  return { status, headers: { 'content-type': 'text/plain' }, body };
}

/** Remembers whether the gateway has been ready, see `readyz`. */
export class HealthEndpoint {
  private wasReady = false;

  /** @param readSources - undefined until the gateway serves. */
  constructor(
    private readonly registry: Registry,
    private readonly readSources: () => HealthSources | undefined,
  ) {}

  async handle({ path }: HttpRequest): Promise<HttpResponse> {
    if (path === '/readyz') return this.readyz();
    if (path === '/livez') return textResponse(200, 'live\n');
    if (path === '/metrics') return textResponse(200, await this.registry.metrics());
    return textResponse(404, 'no such path\n');
  }

  /**
   * The loss of fresh controllers alone does not make a gateway unready that has been ready: it can
   * still serve requests.
   */
  private readyz(): HttpResponse {
    const sources = this.readSources();
    if (sources === undefined) return textResponse(503, 'starting\n');
    const { isStopping, hasRoutes, isFresh, acceptsKeys } = sources;
    if (isStopping()) return textResponse(503, 'stopping\n');
    if (!hasRoutes()) return textResponse(503, 'no route document yet\n');
    if (!acceptsKeys()) return textResponse(503, 'API keys are not confirmed\n');
    this.wasReady ||= isFresh();
    return this.wasReady ? textResponse(200, 'ready\n') : textResponse(503, 'not fresh yet\n');
  }
}
