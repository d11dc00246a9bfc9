/** The operator of a soak: sends version after version of the routes, the same again until it is taken. */
import type { Clock } from '../../src/seams/clock.js';
import type { Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import { routeDocument } from './soak-routes.js';

/** Between an accepted version and the next one. Milliseconds. */
const CHANGE_INTERVAL_MS = 2_500;
const PAUSE_AFTER_FAILURE_MS = 100;
const CLIENT_OPTIONS = {
  connections: 1,
  maximumResponseBytes: 1_000_000,
  connectTimeout: 500,
  keepAliveTimeout: 500,
};
/** Longest wait for a controller's answer. Milliseconds. */
const CALL_TIMEOUT_MS = 1_500;
const HTTP_OK = 200;

/** An accepted version. */
export interface AcknowledgedVersion {
  readonly version: number;
  /** Clock reading. */
  readonly at: number;
}

/** See the module comment. */
export class SoakOperator {
  readonly acknowledged: AcknowledgedVersion[] = [];
  /** The newest version that may be in force. */
  newestSent = 0;
  private intervalMs = CHANGE_INTERVAL_MS;
  private readonly clock: Clock;

  constructor(
    private readonly environment: Environment,
    private readonly controllers: () => readonly Address[],
  ) {
    this.clock = environment.clock;
  }

  /** The newest accepted version. */
  get newest(): number {
    return this.acknowledged.at(-1)?.version ?? 0;
  }

  /** Sends changes until `stopped`. */
  async run(stopped: AbortSignal): Promise<void> {
    while (!stopped.aborted) {
      await this.change(stopped);
      await this.clock.sleep(this.intervalMs, stopped).catch(() => undefined);
    }
  }

  /** Sends versions without a pause for a while. */
  async storm(durationMs: number): Promise<void> {
    this.intervalMs = 0;
    await this.clock.sleep(durationMs);
    this.intervalMs = CHANGE_INTERVAL_MS;
  }

  /** Sends the next version until it is accepted. */
  async change(stopped: AbortSignal): Promise<void> {
    this.newestSent += 1;
    const version = this.newestSent;
    for (let attempt = 0; !stopped.aborted; attempt += 1) {
      const controllers = this.controllers();
      const controller = controllers[attempt % controllers.length] as Address;
      if (await this.put(controller, version)) {
        this.acknowledged.push({ version, at: this.clock.now() });
        return;
      }
      await this.clock.sleep(PAUSE_AFTER_FAILURE_MS, stopped).catch(() => undefined);
    }
  }

  /** The version that a controller says is in force; undefined when it says nothing. */
  async readBack(controller: Address): Promise<number | undefined> {
    const body = await this.call(controller, 'GET');
    if (body === undefined) return undefined;
    return (JSON.parse(body) as { readonly version: number }).version;
  }

  private async put(controller: Address, version: number): Promise<boolean> {
    return (await this.call(controller, 'PUT', routeDocument(version))) !== undefined;
  }

  private async call(
    controller: Address,
    method: string,
    body?: string,
  ): Promise<string | undefined> {
    const client = this.environment.network.httpClient(controller, CLIENT_OPTIONS);
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const content = body === undefined ? {} : { body };
    try {
      const request = { method, path: '/v1/routes', headers: {}, signal, ...content };
      const response = await client.request(request);
      return response.status === HTTP_OK ? Buffer.from(response.body).toString() : undefined;
    } catch {
      return undefined;
    } finally {
      client.destroy();
    }
  }
}
