/** Test fixture: an operator that gives orders to one controller after the other. */
import type { HttpClient } from '../../src/seams/http.js';
import { settleWithin } from '../../src/seams/settle-within.js';
import { REGISTRATION_PORT, type AutomaticGroup } from './automatic-group.js';

/** Time after which an operator gives a call up. Milliseconds. */
const CALL_TIMEOUT_MS = 1_000;
const PAUSE_MS = 50;
const MAXIMUM_CALLS = 60;

const CLIENT_OPTIONS = {
  connections: 1,
  maximumResponseBytes: 100_000,
  connectTimeout: CALL_TIMEOUT_MS,
  keepAliveTimeout: 1_000,
};

/** Gives one order at a time, each call on a connection of its own. */
export class Operator {
  private kept: { readonly controller: number; readonly client: HttpClient } | undefined;

  constructor(private readonly group: AutomaticGroup) {}

  /** Opens the connection that the next call to this controller uses. */
  async connect(controller: number): Promise<void> {
    const client = this.createClient(controller);
    const request = client.request({ method: 'GET', path: '/v1/evacuations', headers: {} });
    await this.group.simulation.settle(request);
    this.kept = { controller, client };
  }

  /** Repeats the order at one controller after the other until one acknowledges it; returns its status. */
  async order(method: string, path: string, controllers: readonly number[]): Promise<number> {
    for (let call = 0; call < MAXIMUM_CALLS; call += 1) {
      const controller = controllers[call % controllers.length] ?? 0;
      const status = await this.tryOnce(method, path, controller);
      if (status !== undefined && status < 500) return status;
      await this.group.simulation.runFor(PAUSE_MS);
    }
    return 0;
  }

  /** Returns the status; undefined when the call failed or was given up, which closes its connection. */
  async tryOnce(method: string, path: string, controller: number): Promise<number | undefined> {
    const { simulation, operator } = this.group;
    const { clock } = operator.environment;
    const client = this.takeClient(controller);
    let status: number | undefined;
    const request = client.request({ method, path, headers: {} }).then(
      (response) => {
        status = response.status;
      },
      () => undefined,
    );
    await simulation.settle(settleWithin(clock, request, CALL_TIMEOUT_MS));
    client.destroy();
    return status;
  }

  private takeClient(controller: number): HttpClient {
    const { kept } = this;
    if (kept?.controller !== controller) return this.createClient(controller);
    this.kept = undefined;
    return kept.client;
  }

  private createClient(controller: number): HttpClient {
    const { host } = this.group.machineAt(controller);
    const { network } = this.group.operator.environment;
    return network.httpClient({ host, port: REGISTRATION_PORT }, CLIENT_OPTIONS);
  }
}
