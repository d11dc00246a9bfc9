/**
 * A simulated controller's end of the control stream, without consensus. The
 * test removes and restores the quorum of its log, and applies each change to
 * every controller that is to have it.
 */
import { Registry } from 'prom-client';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import type { ControllerEndpoint } from '../../src/configuration/daemon-configuration.js';
import type { ReplicatedLogStatus } from '../../src/consensus/replicated-log.js';
import { ControlStreamServer } from '../../src/control-stream/control-stream-server.js';
import { ControllerExchange } from '../../src/control-stream/controller-exchange.js';
import { DaemonDirectory } from '../../src/control-stream/daemon-directory.js';
import type { EncodedHistoryOptions } from '../../src/control-stream/encoded-history.js';
import { LivenessReportTable } from '../../src/control-stream/liveness-report-table.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { AuthenticatedListener } from '../../src/protocol/authenticated-listener.js';
import { formatAddress } from '../../src/seams/address.js';
import { encodeCommand } from '../../src/settings/configuration-command.js';
import { ConfigurationStateMachine } from '../../src/settings/configuration-state-machine.js';

export const CLUSTER = { id: 'dohoku', key: 'a-long-random-secret' };
const MESSAGE_PORT = 7500;

/** The command that produces `revision`; by default its value is unique to the revision. */
export function changeCommand(revision: number, value = revision): Uint8Array {
  return encodeCommand({
    kind: 'change',
    principal: { kind: 'bootstrap' },
    at: 0,
    request: {
      changeId: `change-${revision}`,
      baseRevision: revision - 1,
      author: 'test',
      reason: 'test',
      operations: [{ type: 'set', scope: 'defaults', key: 'queueLimit', value }],
    },
  });
}

/** A log without peers; the test determines whether it has a quorum. */
class TestLog {
  members: { memberId: string; address: string; voter: boolean }[] = [];
  /** Whether read barriers never settle, as while the leader is partitioned from the others. */
  readsHang = false;
  private quorumLostAt: number | undefined;

  constructor(
    private readonly memberId: string,
    private readonly readTime: () => number,
  ) {}

  loseQuorum(): void {
    this.quorumLostAt ??= this.readTime();
  }

  regainQuorum(): void {
    this.quorumLostAt = undefined;
  }

  async readBarrier(): Promise<void> {
    if (this.readsHang) return new Promise(() => undefined);
    if (this.quorumLostAt !== undefined) throw new Error('no quorum');
  }

  status(): ReplicatedLogStatus {
    const sinceQuorumMs = this.quorumLostAt === undefined ? 0 : this.readTime() - this.quorumLostAt;
    return {
      memberId: this.memberId,
      role: 'follower',
      term: 1,
      leaderId: undefined,
      commitIndex: 0,
      knownCommitIndex: 0,
      appliedIndex: 0,
      lastIndex: 0,
      sinceQuorumMs,
      members: this.members,
      retiredIds: [],
    };
  }
}

/** One controller: stream server, exchange and listener over a {@link TestLog}. */
export class TestController {
  readonly machine: ConfigurationStateMachine;
  readonly log: TestLog;
  readonly daemons: DaemonDirectory;
  readonly livenessReports = new LivenessReportTable();
  readonly registry = new Registry();
  server!: ControlStreamServer;
  exchange!: ControllerExchange;
  private listener!: AuthenticatedListener;

  private constructor(
    readonly host: SimulatedMachine,
    machine: ConfigurationStateMachine,
    private readonly historyOptions: EncodedHistoryOptions | undefined,
  ) {
    const { clock } = host.environment;
    this.machine = machine;
    this.log = new TestLog(host.name, () => clock.now());
    this.daemons = new DaemonDirectory(clock);
  }

  static async start(
    host: SimulatedMachine,
    machine = new ConfigurationStateMachine(),
    historyOptions?: EncodedHistoryOptions,
  ): Promise<TestController> {
    const controller = new TestController(host, machine, historyOptions);
    await controller.listen();
    return controller;
  }

  get endpoint(): ControllerEndpoint {
    return { memberId: this.host.name, address: this.listener.address, zone: this.host.zone };
  }

  /** Accepts the next revision with content that differs from the other controllers'. */
  acceptDivergent(value: number): void {
    const revision = this.machine.current().revision + 1;
    this.machine.apply(changeCommand(revision, value), revision);
  }

  /** Accepts all missing revisions up to and including `revision`. */
  acceptUpTo(revision: number): void {
    for (let next = this.machine.current().revision + 1; next <= revision; next += 1) {
      this.machine.apply(changeCommand(next), next);
    }
  }

  async counter(name: string, label?: string): Promise<number> {
    const values = (await this.registry.getSingleMetric(name)?.get())?.values ?? [];
    const wanted = values.filter(({ labels }) => {
      return label === undefined || Object.values(labels).includes(label);
    });
    return wanted.reduce((sum, { value }) => sum + value, 0);
  }

  private async listen(): Promise<void> {
    const { environment, name } = this.host;
    const telemetry = { logger: SILENT_LOGGER, registry: this.registry };
    const identity = { clusterId: CLUSTER.id, clusterKey: CLUSTER.key, name };
    const { daemons, livenessReports, log } = this;
    this.server = new ControlStreamServer(
      {
        clock: environment.clock,
        memberId: name,
        feed: this.machine,
        log,
        daemons,
        livenessReports,
        onUpdate: () => this.exchange.notify(),
        ...(this.historyOptions === undefined ? {} : { historyOptions: this.historyOptions }),
      },
      telemetry,
    );
    this.exchange = new ControllerExchange(
      {
        environment,
        identity,
        readMembers: () => this.log.members,
        daemons,
        livenessReports,
        onLivenessReports: () => this.server.notify(),
      },
      telemetry,
    );
    this.listener = await AuthenticatedListener.listen(
      environment,
      { host: this.host.host, port: MESSAGE_PORT },
      identity,
      {
        consensus: async () => undefined,
        exchange: this.exchange.serve.bind(this.exchange),
        subscriber: this.server.serve.bind(this.server),
      },
      this.registry,
    );
  }
}

/** Sets the member list of every controller to `controllers`. */
export function setMembers(controllers: readonly TestController[]): void {
  const members = controllers.map(({ endpoint }) => ({
    memberId: endpoint.memberId,
    address: formatAddress(endpoint.address),
    voter: true,
  }));
  for (const controller of controllers) controller.log.members = members;
}
