/** The back ends of a bench run: one stand-in on a simulated machine for each replica. */
import { DEFAULT_BACKEND_OPTIONS, type BackendOptions } from '../backend/backend-options.js';
import { Backend } from '../backend/backend.js';
import type { BackendRequest } from '../backend/backend-request.js';
import type { BackendLedger } from '../ledger/backend-ledger.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import type { Simulation } from '../simulation/simulation.js';
import type { ReplicaDefinition, ServiceDefinition } from '../../src/model/service-definition.js';
import type { Snapshot } from '../../src/model/snapshot.js';
import { BACKEND_PORT, LAYOUT_EPOCH, defineServices } from './deployment.js';
import { struckReplicas } from './replica-outages.js';
import type { ReplyTimes } from './reply-times.js';
import type { Publish, Trace, TraceFault } from './trace.js';

/** One replica and the machine it runs on. */
interface FleetMember {
  readonly machine: SimulatedMachine;
  readonly options: BackendOptions;
  backend: Backend;
}

/** Requests that a back end queues before it sheds. */
const QUEUE_LIMIT = 64;

/** Starts, publishes to, and breaks the back ends of one run. */
export class BenchFleet {
  readonly services: Readonly<Record<string, ServiceDefinition>>;
  private readonly members = new Map<string, FleetMember>();
  private readonly newestVersion = new Map<string, number>();

  constructor(
    private readonly simulation: Simulation,
    /** Virtual time at which the trace begins. Milliseconds. */
    private readonly traceStart: number,
    private readonly trace: Trace,
    private readonly replyTimes: ReplyTimes,
    private readonly ledger: BackendLedger,
  ) {
    this.services = defineServices(trace.deployment, (replicaId, zone) => {
      return simulation.createMachine(replicaId, zone).host;
    });
  }

  /** Starts every back end, then lays down the publishes and faults of the trace. */
  async start(): Promise<void> {
    for (const definition of Object.values(this.services)) {
      for (const layout of definition.layouts) {
        for (const { shardId, replicas } of layout.shards) {
          for (const replica of replicas) await this.startMember(definition, shardId, replica);
        }
      }
    }
    for (const publish of this.trace.publishes) this.schedulePublish(publish);
    for (const fault of this.trace.faults) this.scheduleFault(fault);
  }

  private async startMember(
    definition: ServiceDefinition,
    shardId: string,
    replica: ReplicaDefinition,
  ): Promise<void> {
    const machine = this.simulation.machine(replica.replicaId);
    const options = this.optionsOf(definition.name, shardId, replica, machine.host);
    const backend = await this.simulation.settle(Backend.start(machine.environment, options));
    this.members.set(replica.replicaId, { machine, options, backend });
  }

  private optionsOf(
    service: string,
    shardId: string,
    { replicaId, slots, connections }: ReplicaDefinition,
    host: string,
  ): BackendOptions {
    const { coldStart } = this.trace;
    return {
      ...DEFAULT_BACKEND_OPTIONS,
      address: { host, port: BACKEND_PORT },
      replicaId,
      service,
      shardIds: [shardId],
      slots,
      connections,
      queueLimit: QUEUE_LIMIT,
      report: { lag: this.trace.reportLagMs },
      ledger: this.ledger,
      workingTime: (request) => this.workingTime(replicaId, request),
      ...(coldStart === undefined ? {} : { coldStart }),
    };
  }

  private workingTime(replicaId: string, request: BackendRequest): number {
    const { service, shardId, queryDigest } = request;
    const key = { service, shardId, replicaId, queryDigest };
    return this.replyTimes.workingTime(key, this.simulation.now - this.traceStart);
  }

  private schedulePublish({ service, indexVersion, atMs, spreadMs }: Publish): void {
    this.at(atMs, () => this.newestVersion.set(service, indexVersion));
    const members = [...this.members.values()].filter(({ options }) => options.service === service);
    members.forEach((member, index) => {
      const time = atMs + (spreadMs * index) / members.length;
      this.at(time, () => member.backend.publish(this.snapshotOf(indexVersion)));
    });
  }

  private snapshotOf(indexVersion: number): Snapshot {
    return { layoutEpoch: LAYOUT_EPOCH, indexVersion };
  }

  private scheduleFault(fault: TraceFault): void {
    for (const { replicaId } of struckReplicas(this.trace.deployment, fault)) {
      const member = this.members.get(replicaId);
      if (member === undefined) continue;
      this.at(fault.atMs, () => this.begin(fault, member));
      if (fault.untilMs !== undefined) {
        this.at(fault.untilMs, () => this.end(fault, member));
      }
    }
  }

  /** Runs `action` at a time of the trace. Milliseconds. */
  private at(time: number, action: () => void): void {
    this.simulation.at(this.traceStart + time, action);
  }

  /** A `slow` fault acts through {@link ReplyTimes}, and a load lie from the start. */
  private begin(fault: TraceFault, member: FleetMember): void {
    if (fault.kind === 'crash') member.machine.crash();
    if (fault.kind === 'power_loss') member.machine.crash({ power: true });
    if (fault.kind === 'drain') member.backend.drain();
  }

  private end(fault: TraceFault, member: FleetMember): void {
    if (fault.kind === 'slow' || fault.kind === 'lie_about_load') return;
    void this.restart(member);
  }

  /** Comes back cold, as a new incarnation, with the newest index version. */
  private async restart(member: FleetMember): Promise<void> {
    const environment = member.machine.restart({ keepDisk: false });
    const version = this.newestVersion.get(member.options.service) ?? 1;
    const options = { ...member.options, snapshot: this.snapshotOf(version) };
    member.backend = await Backend.start(environment, options);
  }
}
