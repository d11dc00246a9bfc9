/** A gateway over stand-in replicas and a group of controllers, in the simulation. */
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
/** In which registrations and route documents reach the gateway. Milliseconds. */
const PROPAGATION_MS = 3_000;
export const HOST = 'desk.example';
const SECOND_SENDS = { ratio: 0.2, slack: 56 };

/** Settings of the gateway that a test changes. */
export interface GatewayOverrides {
  readonly secondSends?: { readonly ratio: number; readonly slack: number };
  readonly mechanisms?: Partial<GatewayMechanisms>;
  readonly aggregation?: Partial<AggregationSettings>;
  /** Whether the gateway that callers reach takes gathers of others; true when absent. */
  readonly takesGathers?: boolean;
  /** Gateways besides the one that callers reach. */
  readonly others?: number;
  /** Of the controllers; silent when absent. */
  readonly controllerLogger?: Logger;
  /** Of the gateways and the controllers. */
  readonly tenants?: {
    readonly quota?: Partial<QuotaSettings>;
    readonly revocationBoundMs?: number;
  };
  /** Zones of the gateways, first of the one that callers reach; one for all when absent. */
  readonly gatewayZones?: readonly string[];
  /** Regions by zone. */
  readonly zones?: Readonly<Record<string, string>>;
  /** Defects of the controllers. */
  readonly controlFaults?: ControlStreamFaults;
}

/** A gateway besides the one that callers reach. */
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

/** One line that the gateway wrote. */
export interface LogLine {
  readonly message: string;
  readonly fields: LogFields;
}

export function collectLines(lines: LogLine[]): Logger {
  const write = (message: string, fields: LogFields = {}): void => {
    lines.push({ message, fields });
  };
  const logger: Logger = { info: write, warn: write, error: write, child: () => logger };
  return logger;
}

/** One route of the document that {@link GatewayHarness.putRoutes} writes. */
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

/** One tenant of the document that {@link GatewayHarness.putRoutes} writes. */
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
  /** Besides those that every request carries. */
  readonly headers?: HttpHeaders;
  readonly signal?: AbortSignal;
}

/** See the module comment. */
export class GatewayHarness {
  private version = 0;
  private calls = 0;
  private replicas = 0;
  private readonly machines = new Map<ExchangeReplica, SimulatedMachine>();

  private constructor(
    readonly group: AutomaticGroup,
    readonly machine: SimulatedMachine,
    public gateway: GatewayDaemon,
    /** Lines of the gateway. */
    readonly lines: LogLine[],
    /** What the gateway that was started first counts. */
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

  /** Evacuates a zone, or ends that, at the controller of the index. */
  async evacuate(zone: string, isEvacuated: boolean, controller = 0): Promise<number> {
    const method = isEvacuated ? 'PUT' : 'DELETE';
    const machine = this.group.machineAt(controller);
    const answer = await this.group.call(machine, method, `/v1/evacuations/${zone}`);
    return answer.status;
  }

  /** The gateway's machine and all controllers lose power at once. */
  losePower(): void {
    for (const machine of [this.machine, ...this.group.machines]) machine.crash({ power: true });
  }

  /** Starts a gateway on its machine again. */
  async restartGateway(): Promise<void> {
    this.machine.restart({ keepDisk: true });
    const { group, machine, lines, overrides } = this;
    this.gateway = await GatewayHarness.startGateway(group, machine, lines, overrides);
  }

  /** Starts every controller again, with its disk. */
  async restartControllers(): Promise<void> {
    for (const machine of this.group.machines) await this.group.restart(machine, true);
  }

  get simulation(): AutomaticGroup['simulation'] {
    return this.group.simulation;
  }

  /** A replica of the service that has registered. */
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

  /** The machine that the replica runs on. */
  machineOf(replica: ExchangeReplica): SimulatedMachine {
    const machine = this.machines.get(replica);
    if (machine === undefined) throw new Error('not a replica of this harness');
    return machine;
  }

  /**
   * Starts a replica's machine again: another replica of the service, at the same address, or
   * with `bornAt` the same one in another life.
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

  /** The line about a request; fails when there is not exactly one. */
  lineOf(requestId: string): LogLine {
    const [line, ...others] = this.lines.filter(({ fields }) => fields['requestId'] === requestId);
    if (line === undefined || others.length > 0) return expect.fail(`lines of ${requestId}`);
    return line;
  }

  /** Puts the next version of the routes in force. */
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

  /** Sends one request, to the first gateway if no other is named; not yet settled. */
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

  call(call: TestCall): Promise<HttpClientResponse> {
    return this.simulation.settle(this.send(call));
  }

  async readyStatus(): Promise<number> {
    const address = { host: this.machine.host, port: HEALTH_PORT };
    const client = this.group.operator.environment.network.httpClient(address, CALLER_OPTIONS);
    const request = client.request({ method: 'GET', path: '/readyz', headers: {} });
    return (await this.simulation.settle(request)).status;
  }
}

export function textOf({ body }: HttpClientResponse): string {
  return Buffer.from(body).toString('utf8');
}
