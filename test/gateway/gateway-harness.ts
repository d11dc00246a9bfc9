/** Runs gateways with simulated replicas and a group of controllers in the simulation. */
import { Registry } from 'prom-client';
import { expect } from 'vitest';
import {
  ExchangeReplica,
  type ExchangeReplicaOptions,
} from '../../lab/exchange/exchange-replica.js';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import type { GatewayMechanisms } from '../../src/configuration/gateway-mechanisms.js';
import type { QuotaSettings } from '../../src/configuration/tenant-settings.js';
import {
  gatewayConfigurationSchema,
  type AggregationSettings,
} from '../../src/configuration/gateway-configuration.js';
import { DEFAULT_EXCHANGE_HEADERS } from '../../src/gateway/exchange-headers.js';
import { GatewayDaemon } from '../../src/gateway/gateway-daemon.js';
import type { ControlStreamFaults } from '../../src/control-stream/control-stream-faults.js';
import type { LogFields, Logger } from '../../src/observability/logger.js';
import type { HttpClientResponse, HttpHeaders } from '../../src/seams/http.js';
import {
  AutomaticGroup,
  CLUSTER,
  MESSAGE_PORT,
  REGISTRATION_PORT,
} from '../control/automatic-group.js';

const CALLER_PORT = 8000;
const HEALTH_PORT = 8001;
const GATHER_PORT = 8002;
const REPLICA_PORT = 9000;
/** Time within which registrations and route documents reach the gateway. Milliseconds. */
const PROPAGATION_MS = 3_000;
export const HOST = 'desk.example';
const SECOND_SENDS = { ratio: 0.2, slack: 56 };

/** Settings that a test changes; absent ones keep their defaults. */
export interface GatewayOverrides {
  readonly secondSends?: { readonly ratio: number; readonly slack: number };
  readonly mechanisms?: Partial<GatewayMechanisms>;
  readonly aggregation?: Partial<AggregationSettings>;
  /** Whether the gateway that serves callers accepts gathers from others; true when absent. */
  readonly takesGathers?: boolean;
  /** Number of gateways besides the one that serves callers; none when absent. */
  readonly others?: number;
  /** Logger of the controllers; they log nothing when absent. */
  readonly controllerLogger?: Logger;
  /** Tenant settings of the gateways and the controllers. */
  readonly tenants?: {
    readonly quota?: Partial<QuotaSettings>;
    readonly revocationBoundMs?: number;
  };
  /** Zones of the gateways, the one that serves callers first; one zone for all when absent. */
  readonly gatewayZones?: readonly string[];
  /** Region by zone name. */
  readonly zones?: Readonly<Record<string, string>>;
  /** Faults injected into the controllers. */
  readonly controlFaults?: ControlStreamFaults;
}

/** A gateway besides the one that serves callers. */
export interface OtherGateway {
  readonly machine: SimulatedMachine;
  readonly daemon: GatewayDaemon;
  readonly lines: LogLine[];
  readonly registry: Registry;
}

const CALLER_OPTIONS = {
  connections: 50,
  maximumResponseBytes: 2_000_000,
  connectTimeout: 1_000,
  keepAliveTimeout: 1_000,
};

/** One log line of a gateway. */
export interface LogLine {
  readonly message: string;
  readonly fields: LogFields;
}

/** Creates a logger that appends its lines of all levels to `lines`. */
export function collectLines(lines: LogLine[]): Logger {
  const write = (message: string, fields: LogFields = {}): void => {
    lines.push({ message, fields });
  };
  const logger: Logger = { info: write, warn: write, error: write, child: () => logger };
  return logger;
}

/** One route of the document that {@link GatewayHarness.putRoutes} publishes. */
export interface TestRoute {
  readonly pathPrefix: string;
  readonly execution?: 'repeatable' | 'atMostOnce';
  readonly timeoutMs?: number;
  readonly targetLatencyMs?: number;
  readonly maximumAttempts?: number;
  readonly service?: string;
  readonly split?: readonly { service: string; weight: number }[];
  readonly shards?: readonly string[];
  readonly topRecords?: number;
  readonly requiredCoverage?: number;
  readonly allowedRegions?: readonly string[];
  readonly priority?: number;
  readonly public?: boolean;
}

/** One tenant of the document that {@link GatewayHarness.putRoutes} publishes. */
export interface TestTenant {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority?: number;
  readonly requestsPerSecond?: number;
  readonly burst?: number;
}

/** A caller's request. */
export interface TestCall {
  readonly path: string;
  readonly id?: string;
  readonly method?: string;
  readonly body?: string;
  readonly deadlineMs?: number;
  /** Added to the headers that every request carries. */
  readonly headers?: HttpHeaders;
  readonly signal?: AbortSignal;
}

/** A running fleet; methods that wait advance the simulation. */
export class GatewayHarness {
  private version = 0;
  private calls = 0;
  private replicas = 0;
  private readonly machines = new Map<ExchangeReplica, SimulatedMachine>();

  private constructor(
    readonly group: AutomaticGroup,
    readonly machine: SimulatedMachine,
    public gateway: GatewayDaemon,
    /** Log lines of the first gateway. */
    readonly lines: LogLine[],
    /** Metrics of the first gateway until it is restarted. */
    readonly registry: Registry,
    readonly others: readonly OtherGateway[],
    private readonly overrides: GatewayOverrides,
  ) {}

  static async start(seed = 7, overrides: GatewayOverrides = {}): Promise<GatewayHarness> {
    const group = await AutomaticGroup.start(3, seed, {
      logger: overrides.controllerLogger,
      faults: overrides.controlFaults,
      tenants: overrides.tenants,
    });
    const zoneOf = (index: number): string => overrides.gatewayZones?.[index] ?? 'nayoro';
    const machine = group.simulation.createMachine('gateway-1', zoneOf(0));
    const lines: LogLine[] = [];
    const registry = new Registry();
    const gateway = await GatewayHarness.startGateway(group, machine, lines, overrides, registry);
    const others: OtherGateway[] = [];
    for (let index = 0; index < (overrides.others ?? 0); index += 1) {
      const other = group.simulation.createMachine(`gateway-${index + 2}`, zoneOf(index + 1));
      others.push(await GatewayHarness.startOther(group, other, overrides));
    }
    return new GatewayHarness(group, machine, gateway, lines, registry, others, overrides);
  }

  private static async startOther(
    group: AutomaticGroup,
    machine: SimulatedMachine,
    overrides: GatewayOverrides,
  ): Promise<OtherGateway> {
    const lines: LogLine[] = [];
    const registry = new Registry();
    const daemon = await GatewayHarness.startGateway(group, machine, lines, overrides, registry);
    return { machine, daemon, lines, registry };
  }

  private static startGateway(
    group: AutomaticGroup,
    machine: SimulatedMachine,
    lines: LogLine[],
    overrides: GatewayOverrides = {},
    registry = new Registry(),
  ): Promise<GatewayDaemon> {
    const configuration = gatewayConfigurationSchema.parse({
      name: machine.name,
      region: 'dohoku',
      zone: machine.zone,
      cluster: CLUSTER,
      listen: {
        http: `${machine.host}:${CALLER_PORT}`,
        health: `${machine.host}:${HEALTH_PORT}`,
        ...(overrides.takesGathers === false && machine.name === 'gateway-1'
          ? {}
          : { messages: `${machine.host}:${GATHER_PORT}` }),
      },
      controllers: group.machines.map(({ host }) => `${host}:${MESSAGE_PORT}`),
      secondSends: overrides.secondSends ?? SECOND_SENDS,
      mechanisms: overrides.mechanisms ?? {},
      zones: overrides.zones ?? {},
      tenants: overrides.tenants ?? {},
      ...(overrides.aggregation === undefined ? {} : { aggregation: overrides.aggregation }),
      stopGraceMs: 6_000,
    });
    const telemetry = { logger: collectLines(lines), registry };
    const started = GatewayDaemon.start(machine.environment, configuration, telemetry);
    return group.simulation.settle(started);
  }

  /** Starts or ends a zone's evacuation through the controller with that index; returns the status. */
  async evacuate(zone: string, isEvacuated: boolean, controller = 0): Promise<number> {
    const method = isEvacuated ? 'PUT' : 'DELETE';
    const machine = this.group.machineAt(controller);
    const answer = await this.group.call(machine, method, `/v1/evacuations/${zone}`);
    return answer.status;
  }

  /** Cuts the power of the first gateway's machine and of all controllers at once. */
  losePower(): void {
    for (const machine of [this.machine, ...this.group.machines]) machine.crash({ power: true });
  }

  /** Restarts the first gateway on its machine. */
  async restartGateway(): Promise<void> {
    this.machine.restart({ keepDisk: true });
    const { group, machine, lines, overrides } = this;
    this.gateway = await GatewayHarness.startGateway(group, machine, lines, overrides);
  }

  /** Restarts every controller with its disk intact. */
  async restartControllers(): Promise<void> {
    for (const machine of this.group.machines) await this.group.restart(machine, true);
  }

  get simulation(): AutomaticGroup['simulation'] {
    return this.group.simulation;
  }

  /** Starts a replica of the service on a machine of its own; it registers in the background. */
  async addReplica(
    service: string,
    content = '',
    zone = 'nayoro',
    bornAt?: number,
  ): Promise<ExchangeReplica> {
    this.replicas += 1;
    const machine = this.simulation.createMachine(`${service}-${this.replicas}`, zone);
    const incarnation = bornAt === undefined ? {} : { bornAt };
    const replica = this.createReplica(machine, service, zone, incarnation);
    replica.content = content;
    await this.simulation.settle(replica.start());
    return replica;
  }

  /** Restarts a machine with a replica of the service in place of the one that ran there. */
  async addReplicaOn(machine: SimulatedMachine, service: string): Promise<ExchangeReplica> {
    this.replicas += 1;
    machine.restart({ keepDisk: true });
    const replica = this.createReplica(machine, service, machine.zone);
    await this.simulation.settle(replica.start());
    return replica;
  }

  /** The machine on which the replica runs. */
  machineOf(replica: ExchangeReplica): SimulatedMachine {
    const machine = this.machines.get(replica);
    if (machine === undefined) throw new Error('the replica was not added by this harness');
    return machine;
  }

  /**
   * Restarts a replica's machine. Another replica of the service then runs at the same address or,
   * with `bornAt`, the same replica in another incarnation.
   */
  restartReplica(ended: ExchangeReplica, bornAt?: number): ExchangeReplica {
    const machine = this.machineOf(ended);
    machine.restart({ keepDisk: true });
    this.replicas += 1;
    const { service, zone, replicaId } = ended.options;
    const incarnation = bornAt === undefined ? {} : { replicaId, bornAt };
    const replica = this.createReplica(machine, service, zone, incarnation);
    replica.content = ended.content;
    replica.workMs = ended.workMs;
    void replica.start();
    return replica;
  }

  private createReplica(
    machine: SimulatedMachine,
    service: string,
    zone: string,
    incarnation: Pick<ExchangeReplicaOptions, 'bornAt'> & { replicaId?: string } = {},
  ): ExchangeReplica {
    const replica = new ExchangeReplica(machine.environment, {
      replicaId: `${service}-${this.replicas}`,
      service,
      address: { host: machine.host, port: REPLICA_PORT },
      zone,
      controllers: this.group.machines.map(({ host }) => ({ host, port: REGISTRATION_PORT })),
      ...incarnation,
    });
    this.machines.set(replica, machine);
    return replica;
  }

  /** Sends one heartbeat in the name of a replica at the machine's address, as if it had been held up. */
  sendHeartbeat(registration: {
    readonly replicaId: string;
    readonly service: string;
    readonly machine: SimulatedMachine;
  }): Promise<HttpClientResponse> {
    const { replicaId, service, machine } = registration;
    const body = JSON.stringify({
      service,
      address: `${machine.host}:${REPLICA_PORT}`,
      zone: machine.zone,
      capacity: 2,
      state: 'ready',
      sequence: 1,
      warmupRemainingMs: 0,
    });
    return this.group.send(this.group.machineAt(0), 'PUT', `/v1/replicas/${replicaId}`, body);
  }

  /** Sends a deregistration in the name of a replica. */
  sendDeregistration(replicaId: string): Promise<HttpClientResponse> {
    return this.group.send(this.group.machineAt(0), 'DELETE', `/v1/replicas/${replicaId}`);
  }

  /** The only log line with the request id; fails the test unless there is exactly one. */
  lineOf(requestId: string): LogLine {
    const [line, ...others] = this.lines.filter(({ fields }) => fields['requestId'] === requestId);
    if (line === undefined || others.length > 0)
      return expect.fail(`expected one log line of ${requestId}`);
    return line;
  }

  /** Publishes the routes as the next version and waits until they are in force. */
  async putRoutes(routes: readonly TestRoute[], tenants?: readonly TestTenant[]): Promise<void> {
    this.version += 1;
    const services = routes.flatMap(({ service, split = [], shards = [] }) => [
      ...(service === undefined ? [] : [service]),
      ...split.map((part) => part.service),
      ...shards,
    ]);
    const document = {
      version: this.version,
      routes: routes.map((route, index) => ({
        name: `route-${index}`,
        host: HOST,
        execution: 'repeatable',
        timeoutMs: 2_000,
        targetLatencyMs: 200,
        maximumAttempts: 2,
        ...route,
      })),
      services: [...new Set(services)].map((name) => ({ name, maximumConnections: 26 })),
      ...(tenants === undefined ? {} : { tenants }),
    };
    const sent = await this.group.putRoutes(this.group.machineAt(0), JSON.stringify(document));
    expect(sent.status).toBe(200);
    await this.simulation.runFor(PROPAGATION_MS);
  }

  /** Sends one request, by default to the first gateway, without advancing the simulation. */
  send(call: TestCall, machine = this.machine): Promise<HttpClientResponse> {
    this.calls += 1;
    const { requestId, deadline } = DEFAULT_EXCHANGE_HEADERS;
    const address = { host: machine.host, port: CALLER_PORT };
    const client = this.group.operator.environment.network.httpClient(address, CALLER_OPTIONS);
    return client.request({
      method: call.method ?? 'GET',
      path: call.path,
      headers: {
        host: HOST,
        [requestId]: call.id ?? `call-${this.calls}`,
        [deadline]: String(call.deadlineMs ?? 2_000),
        ...call.headers,
      },
      ...(call.body === undefined ? {} : { body: call.body }),
      ...(call.signal === undefined ? {} : { signal: call.signal }),
    });
  }

  /** Sends one request to the first gateway and waits for the response. */
  call(call: TestCall): Promise<HttpClientResponse> {
    return this.simulation.settle(this.send(call));
  }

  /** Status of the first gateway's `/readyz`. */
  async readyStatus(): Promise<number> {
    const address = { host: this.machine.host, port: HEALTH_PORT };
    const client = this.group.operator.environment.network.httpClient(address, CALLER_OPTIONS);
    const request = client.request({ method: 'GET', path: '/readyz', headers: {} });
    return (await this.simulation.settle(request)).status;
  }
}

/** The response body as text. */
export function textOf({ body }: HttpClientResponse): string {
  return Buffer.from(body).toString('utf8');
}
