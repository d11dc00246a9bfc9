/** Test fixture: a simulated group of three controllers in three zones, daemons and an operator. */
import { Registry } from 'prom-client';
import { expect } from 'vitest';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import { Simulation } from '../../lab/simulation/simulation.js';
import type { ChangeReport, StatusReport } from '../../src/administration/response-schemas.js';
import { controllerConfigurationSchema } from '../../src/configuration/controller-configuration.js';
import type { ControllerEndpoint } from '../../src/configuration/daemon-configuration.js';
import { ControllerDaemon } from '../../src/control/controller-daemon.js';
import type { ControlStreamFaults } from '../../src/control-stream/control-stream-faults.js';
import { ControlStreamClient } from '../../src/control-stream/control-stream-client.js';
import { observe } from '../../src/control-stream/observe.js';
import type { LivenessReport } from '../../src/model/liveness-report.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import type { Operation } from '../../src/settings/change.js';
import { createTokenText, hashToken } from '../../src/settings/token-text.js';

export const ZONES = ['asahikawa-a', 'nayoro', 'wakkanai'];
export const CLUSTER = { id: 'dohoku', key: 'a-long-random-secret' };
export const PLATFORM_PORT = 7600;
/** Upper bound for a change to come into force, from docs/design/control-stream.md. */
export const IN_FORCE_WITHIN_MS = 7_000;
export const ELECTION_MS = 10_000;

const SEED = 4;
export const TOKEN = createTokenText('bootstrap');
export const HTTP_PORT = 7400;
const MESSAGE_PORT = 7500;
export const HTTP_CLIENT_OPTIONS = {
  connections: 1,
  maximumResponseBytes: 1_048_576,
  connectTimeout: 1_000,
  keepAliveTimeout: 1_000,
};

function telemetry() {
  return { logger: SILENT_LOGGER, registry: new Registry() };
}

/** A daemon's control stream client, and what the stream delivered. */
export class GroupDaemon {
  readonly client: ControlStreamClient;
  /** Every revision put in force, in order. */
  readonly revisions: number[] = [];
  readonly livenessReports: LivenessReport[] = [];

  constructor(
    readonly host: SimulatedMachine,
    private readonly controllers: readonly ControllerEndpoint[],
    faults?: ControlStreamFaults,
  ) {
    const { name, zone, environment } = host;
    const configuration = { name, zone, cluster: CLUSTER, controllers };
    this.client = ControlStreamClient.start(environment, configuration, telemetry(), faults);
    observe(this.client.revisions, ({ revision }) => this.revisions.push(revision));
    observe(this.client.livenessReports, (report) => this.livenessReports.push(report));
  }

  get revision(): number | undefined {
    return this.client.current()?.revision;
  }

  get fresh(): boolean {
    return this.client.freshness().fresh;
  }

  /** Kills the process and starts another on the machine. */
  restarted(): GroupDaemon {
    this.host.restart({ keepDisk: false });
    return new GroupDaemon(this.host, this.controllers);
  }
}

/** A group with one controller in each zone. */
export class ControllerGroup {
  readonly simulation = new Simulation(SEED);
  readonly operator = this.simulation.createMachine('operator', 'operators');
  readonly hosts = ZONES.map((zone, index) =>
    this.simulation.createMachine(`controller-${index + 1}`, zone),
  );
  readonly controllers: ControllerDaemon[] = [];

  private constructor(private readonly faults: ControlStreamFaults) {}

  /** Starts a group and waits until it has a leader. */
  static async start(faults: ControlStreamFaults = {}): Promise<ControllerGroup> {
    const group = new ControllerGroup(faults);
    for (const index of ZONES.keys()) await group.startController(index);
    await group.simulation.runFor(ELECTION_MS);
    return group;
  }

  get endpoints(): ControllerEndpoint[] {
    return this.hosts.map(({ name, zone, host }) => ({
      memberId: name,
      zone,
      address: { host, port: MESSAGE_PORT },
    }));
  }

  hostAt(index: number): SimulatedMachine {
    return this.hosts[index] ?? expect.fail(`no controller ${index}`);
  }

  /** Starts the process of one controller on the content of its disk. */
  async startController(index: number): Promise<void> {
    const host = this.hostAt(index);
    const members = this.endpoints.map(({ address, ...endpoint }) => ({
      ...endpoint,
      address: `${address.host}:${address.port}`,
    }));
    const configuration = controllerConfigurationSchema.parse({
      memberId: host.name,
      region: 'dohoku',
      zone: host.zone,
      cluster: CLUSTER,
      dataFolder: 'unused',
      listen: { http: `${host.host}:${HTTP_PORT}`, messages: `${host.host}:${MESSAGE_PORT}` },
      initialMembers: members,
      administration: { bootstrapTokenHash: hashToken(TOKEN) },
      platformList: `${this.operator.host}:${PLATFORM_PORT}`,
      tenants: { quota: {} },
    });
    const { environment } = host;
    this.controllers[index] = await this.simulation.settle(
      ControllerDaemon.start(environment, configuration, telemetry(), this.faults),
    );
  }

  startDaemon(name: string, zone: string, faults = this.faults): GroupDaemon {
    return new GroupDaemon(this.simulation.createMachine(name, zone), this.endpoints, faults);
  }

  async request<T>(host: SimulatedMachine, path: string, body?: object): Promise<T> {
    const address = { host: host.host, port: HTTP_PORT };
    const client = this.operator.environment.network.httpClient(address, HTTP_CLIENT_OPTIONS);
    const pendingResponse = client.request({
      method: body === undefined ? 'GET' : 'POST',
      path,
      headers: { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const response = await this.simulation.settle(pendingResponse);
    const closing = client.close();
    await this.simulation.settle(closing);
    const text = Buffer.from(response.body).toString('utf8');
    if (response.status !== 200) throw new Error(text);
    return JSON.parse(text) as T;
  }

  /** Submits operations to one controller, which creates revision `revision`. */
  acceptOperations(index: number, revision: number, operations: Operation[]): Promise<unknown> {
    return this.request(this.hostAt(index), '/v1/changes', {
      changeId: `change-${revision}`,
      baseRevision: revision - 1,
      author: 'operator',
      reason: 'test',
      operations,
    });
  }

  /** Sets one key through one controller, which creates revision `revision`. */
  accept(index: number, revision: number): Promise<unknown> {
    const operation = { type: 'set', scope: 'defaults', key: 'queueLimit', value: revision };
    return this.acceptOperations(index, revision, [operation as Operation]);
  }

  changeReport(index: number, revision: number): Promise<ChangeReport> {
    return this.request(this.hostAt(index), `/v1/changes/change-${revision}`);
  }

  status(index: number): Promise<StatusReport> {
    return this.request(this.hostAt(index), '/v1/status');
  }

  /** Silently partitions a zone from the other two; the operator still reaches all zones. */
  cutZone(zone: string): void {
    for (const other of ZONES.filter((otherZone) => otherZone !== zone)) {
      this.simulation.cut({ from: { zone }, to: { zone: other } });
      this.simulation.cut({ from: { zone: other }, to: { zone } });
    }
  }

  /**
   * Silently partitions a machine from all other zones; machines of its own zone still reach it.
   */
  cutMachine({ name, zone }: SimulatedMachine): void {
    for (const other of ZONES.filter((otherZone) => otherZone !== zone)) {
      this.simulation.cut({ from: { machine: name }, to: { zone: other } });
      this.simulation.cut({ from: { zone: other }, to: { machine: name } });
    }
  }

  /** Index of the leader. */
  async leaderIndex(): Promise<number> {
    const { leaderId } = await this.status(0);
    return this.hosts.findIndex(({ name }) => name === leaderId);
  }
}
