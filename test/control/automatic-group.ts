/** Test fixture: a simulated group of controllers with automatic membership. */
import { Registry } from 'prom-client';
import { expect } from 'vitest';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { Simulation } from '../../lab/simulation/simulation.js';
import { controllerConfigurationSchema } from '../../src/configuration/controller-configuration.js';
import { ControllerDaemon } from '../../src/control/controller-daemon.js';
import { startController } from '../../src/control/start-controller.js';
import {
  NO_CONTROL_STREAM_FAULTS,
  type ControlStreamFaults,
} from '../../src/control-stream/control-stream-faults.js';
import { SILENT_LOGGER, type Logger } from '../../src/observability/logger.js';
import type { HttpClientResponse } from '../../src/seams/http.js';
import type { SupervisedDaemon } from '../../src/startup/supervised-daemon.js';

export const CLUSTER = { id: 'automatic', key: 'a-long-random-secret' };
export const MESSAGE_PORT = 7500;
export const REGISTRATION_PORT = 7600;
const HTTP_PORT = 7400;
/** Time in which a group recovers from any fault of these tests. */
export const SETTLE_MS = 15_000;

const CLIENT_OPTIONS = {
  connections: 4,
  maximumResponseBytes: 2_000_000,
  connectTimeout: 1_000,
  keepAliveTimeout: 1_000,
};

/** Returns a minimal valid route document, as JSON. */
export function routeDocument(version: number, host = 'desk.example'): string {
  return JSON.stringify({
    version,
    routes: [
      {
        name: 'ledger',
        host,
        pathPrefix: '/ledger/',
        execution: 'repeatable',
        timeoutMs: 2_000,
        maximumAttempts: 2,
        service: 'ledger',
      },
    ],
    services: [{ name: 'ledger' }],
  });
}

/** Options of the controllers of a group. */
export interface AutomaticGroupOptions {
  /** Nothing is logged when absent. */
  readonly logger?: Logger | undefined;
  /** The `tenants` section of the controllers' configuration. */
  readonly tenants?: object | undefined;
  /** Defects that the controllers are run with. */
  readonly faults?: ControlStreamFaults | undefined;
  /** Controllers are run as in production, started again when their disk failed. */
  readonly supervised?: boolean | undefined;
}

/** A group of controllers, its machines and an operator's machine. */
export class AutomaticGroup {
  readonly simulation: Simulation;
  readonly operator: SimulatedMachine;
  readonly machines: SimulatedMachine[] = [];
  /** Empty in a supervised group. */
  readonly daemons = new Map<SimulatedMachine, ControllerDaemon>();
  /** Empty unless the group is supervised. */
  readonly supervisors = new Map<SimulatedMachine, SupervisedDaemon>();
  private readonly registries = new Map<SimulatedMachine, Registry>();
  private seeds: readonly string[] = [];

  private constructor(
    seed: number,
    private readonly options: AutomaticGroupOptions,
  ) {
    this.simulation = new Simulation(seed);
    this.operator = this.simulation.createMachine('operator', 'operators');
  }

  /**
   * Starts `founderCount` controllers for the first time; the first three of them are the seeds.
   */
  static async start(
    founderCount: number,
    seed = 7,
    options: AutomaticGroupOptions = {},
  ): Promise<AutomaticGroup> {
    const group = new AutomaticGroup(seed, options);
    for (let index = 0; index < founderCount; index += 1) group.addMachine();
    group.seeds = group.machines.slice(0, 3).map(({ host }) => `${host}:${MESSAGE_PORT}`);
    for (const machine of group.machines) await group.startOn(machine, true);
    await group.simulation.runFor(SETTLE_MS);
    return group;
  }

  addMachine(): SimulatedMachine {
    const name = `controller-${this.machines.length + 1}`;
    const machine = this.simulation.createMachine(name, 'nayoro');
    this.machines.push(machine);
    return machine;
  }

  machineAt(index: number): SimulatedMachine {
    return this.machines[index] ?? expect.fail(`no machine ${index}`);
  }

  async startOn(machine: SimulatedMachine, firstStart = false): Promise<void> {
    const { host, zone, environment } = machine;
    const configuration = controllerConfigurationSchema.parse({
      memberId: 'unused',
      region: 'dohoku',
      zone,
      cluster: CLUSTER,
      dataFolder: 'unused',
      listen: {
        http: `${host}:${HTTP_PORT}`,
        messages: `${host}:${MESSAGE_PORT}`,
        registration: `${host}:${REGISTRATION_PORT}`,
      },
      zones: { nayoro: 'dohoku', wakkanai: 'dohoku', 'asahikawa-a': 'dohoku' },
      initialMembers: [{ memberId: 'unused', address: '10.0.0.1:1', zone }],
      automaticMembership: { seeds: this.seeds, firstStart },
      tenants: this.options.tenants ?? {},
    });
    const registry = new Registry();
    this.registries.set(machine, registry);
    const { logger = SILENT_LOGGER, faults = NO_CONTROL_STREAM_FAULTS } = this.options;
    const telemetry = { logger, registry };
    if (this.options.supervised === true) {
      const { signal } = new AbortController();
      const starting = startController(environment, configuration, telemetry, signal);
      this.supervisors.set(machine, await this.simulation.settle(starting));
      return;
    }
    const daemon = ControllerDaemon.start(environment, configuration, telemetry, faults);
    this.daemons.set(machine, await this.simulation.settle(daemon));
  }

  /** Returns the metrics of the process that was last started on a machine. */
  registryOf(machine: SimulatedMachine): Registry {
    return this.registries.get(machine) ?? expect.fail(`nothing started on ${machine.name}`);
  }

  /** Kills the process on a machine, with or without its disk, and starts it again. */
  async restart(machine: SimulatedMachine, keepDisk: boolean): Promise<void> {
    machine.restart({ keepDisk });
    await this.startOn(machine);
  }

  /** Cuts a controller off from the other controllers for a time; the operator reaches it. */
  isolate(machine: SimulatedMachine, forMs: number): void {
    const { simulation } = this;
    const cuts = this.machines
      .filter((other) => other !== machine)
      .flatMap((other) => [
        simulation.cut({ from: { machine: machine.name }, to: { machine: other.name } }),
        simulation.cut({ from: { machine: other.name }, to: { machine: machine.name } }),
      ]);
    simulation.at(simulation.now + forMs, () => {
      for (const cut of cuts) simulation.heal(cut);
    });
  }

  async call(
    machine: SimulatedMachine,
    method: string,
    path: string,
    body?: string,
  ): Promise<HttpClientResponse> {
    return this.simulation.settle(this.send(machine, method, path, body));
  }

  /** As {@link AutomaticGroup.call}, but does not run the simulation until the response arrives. */
  send(
    machine: SimulatedMachine,
    method: string,
    path: string,
    body?: string,
  ): Promise<HttpClientResponse> {
    const address = { host: machine.host, port: REGISTRATION_PORT };
    const client = this.operator.environment.network.httpClient(address, CLIENT_OPTIONS);
    const request = { method, path, headers: {}, ...(body === undefined ? {} : { body }) };
    return client.request(request);
  }

  putRoutes(machine: SimulatedMachine, document: string): Promise<HttpClientResponse> {
    return this.call(machine, 'PUT', '/v1/routes', document);
  }

  async readRoutes(machine: SimulatedMachine): Promise<string> {
    const { status, body } = await this.call(machine, 'GET', '/v1/routes');
    expect(status).toBe(200);
    return Buffer.from(body).toString('utf8');
  }
}
