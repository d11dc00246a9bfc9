/** The operator of a soak: sends version after version of the routes, the same again until it is taken. */
import type { Clock } from '../../src/seams/clock.js';
import type { Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import { callController } from './controller-call.js';
import { routeDocument } from './soak-routes.js';

/** Between an accepted version and the next one. Milliseconds. */
const CHANGE_INTERVAL_MS = 2_500;
const PAUSE_AFTER_FAILURE_MS = 100;
const ROUTES_PATH = '/v1/routes';

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
    const call = { method: 'GET', path: ROUTES_PATH };
    const body = await callController(this.environment, controller, call);
    if (body === undefined) return undefined;
    return (JSON.parse(body) as { readonly version: number }).version;
  }

  private async put(controller: Address, version: number): Promise<boolean> {
    const call = { method: 'PUT', path: ROUTES_PATH, body: routeDocument(version) };
    return (await callController(this.environment, controller, call)) !== undefined;
  }
}
