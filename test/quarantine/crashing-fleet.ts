/** Gateways over replicas that crash on one request and restart a few seconds later, as other replicas by default. */
import type { ExchangeReplica, ReplicaRun } from '../../lab/exchange/exchange-replica.js';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import type { HttpClientResponse } from '../../src/seams/http.js';
import {
  GatewayHarness,
  type GatewayOverrides,
  type TestCall,
  type TestRoute,
  type TestTenant,
} from '../gateway/gateway-harness.js';

/** Start time of each replica's first incarnation, where replicas report one. Unix milliseconds. */
const FIRST_BORN_AT = 1_790_000_000_000;
/** Time from a replica's crash to its restart. Milliseconds. */
const RESTART_MS = 2_500;
/** Time in which one gateway's evidence reaches all gateways. Milliseconds. */
export const PROPAGATION_MS = 4_000;
/** Replicas that a request may crash before the gateways must recognize it as the cause. */
export const TOLERATED_CRASHES = 3;
/** Requests of callers that may reach replicas after that. */
export const TOLERATED_LATE_REQUESTS = 3;

/** One crash of a replica. */
interface Crash {
  readonly requestId: string;
  readonly replicaId: string;
  readonly at: number;
}

/** Configuration of a {@link CrashingFleet}. */
export interface CrashingFleetOptions {
  readonly services: readonly string[];
  readonly replicasPerService: number;
  readonly route: TestRoute;
  /** Absent: requests need no API key. */
  readonly tenants?: readonly TestTenant[];
  readonly gateways?: GatewayOverrides;
  /** Whether replicas cancel a request when its connection is closed; true by default. */
  readonly dropsAbandoned?: boolean;
  readonly workMs?: number;
  readonly seed?: number;
  /** Whether replicas restart under the same replica ids, as new incarnations; new ids by default. */
  readonly keepsIds?: boolean;
  /** Zones of the replicas of a service, assigned round-robin. */
  readonly zones?: readonly string[];
}

/** Records every crash, and what each replica ran. */
export class CrashingFleet {
  readonly crashes: Crash[] = [];
  /** Terminated and running replicas, each with the offset from its clock to the simulation's time. */
  readonly replicas = new Map<ExchangeReplica, number>();
  private readonly terminated = new Set<ExchangeReplica>();
  private calls = 0;

  private constructor(
    readonly harness: GatewayHarness,
    private readonly target: string,
    private readonly options: CrashingFleetOptions,
  ) {}

  /** Starts a fleet whose replicas crash when they run a request to `target`. */
  static async start(target: string, options: CrashingFleetOptions): Promise<CrashingFleet> {
    const harness = await GatewayHarness.start(options.seed ?? 7, options.gateways);
    const fleet = new CrashingFleet(harness, target, options);
    for (const service of options.services) {
      for (let copy = 0; copy < options.replicasPerService; copy += 1) {
        const { zones = ['nayoro'] } = options;
        const zone = zones[copy % zones.length];
        const content = `${service} high`.padEnd(16, '.');
        const bornAt = options.keepsIds === true ? FIRST_BORN_AT : undefined;
        fleet.configure(await harness.addReplica(service, content, zone, bornAt));
      }
    }
    await harness.putRoutes([options.route], options.tenants);
    await harness.simulation.runFor(2_000);
    return fleet;
  }

  /** The gateways' machines. */
  get gateways(): readonly SimulatedMachine[] {
    return [this.harness.machine, ...this.harness.others.map(({ machine }) => machine)];
  }

  /** Sends a request to the next gateway, round-robin. */
  send(call: TestCall): Promise<HttpClientResponse> {
    const gateway = this.gateways[this.calls % this.gateways.length];
    this.calls += 1;
    return this.harness.send({ id: `sending-${this.calls}`, ...call }, gateway);
  }

  call(call: TestCall): Promise<HttpClientResponse> {
    return this.harness.simulation.settle(this.send(call));
  }

  /** Sends the crashing request `count` times, with a pause after each; returns the statuses. */
  async repeat(count: number, pauseMs: number): Promise<number[]> {
    const statuses: number[] = [];
    for (let index = 0; index < count; index += 1) {
      statuses.push((await this.call({ path: this.target })).status);
      await this.harness.simulation.runFor(pauseMs);
    }
    return statuses;
  }

  /** Ids of the crashing requests that reached replicas later than `PROPAGATION_MS` after the last tolerated crash. */
  lateRequests(): ReadonlySet<string> {
    const last = this.crashes[TOLERATED_CRASHES - 1];
    if (last === undefined) return new Set();
    const late = new Set<string>();
    for (const [{ runs }, offset] of this.replicas) {
      for (const { target, at, requestId } of runs) {
        if (target === this.target && at + offset > last.at + PROPAGATION_MS) late.add(requestId);
      }
    }
    return late;
  }

  /** Replicas that have not terminated. */
  running(): ExchangeReplica[] {
    return [...this.replicas.keys()].filter((replica) => !this.terminated.has(replica));
  }

  /** Terminates the running replicas that match, regardless of their work; each restarts later as a new incarnation. */
  terminateReplicas(matches: (replica: ExchangeReplica) => boolean): void {
    for (const replica of this.running()) {
      if (matches(replica)) this.terminate(replica);
    }
  }

  /** Makes a replica crash on the request and restart afterwards, and records it. */
  private configure(replica: ExchangeReplica): void {
    replica.crashesOn = this.target;
    replica.dropsAbandoned = this.options.dropsAbandoned ?? true;
    replica.workMs = this.options.workMs ?? replica.workMs;
    replica.crash = (run) => this.crash(replica, run);
    const { clock } = this.harness.machineOf(replica).environment;
    this.replicas.set(replica, this.harness.simulation.now - clock.now());
  }

  private crash(replica: ExchangeReplica, { requestId }: ReplicaRun): void {
    const { replicaId } = replica.options;
    this.crashes.push({ requestId, replicaId, at: this.harness.simulation.now });
    this.terminate(replica);
  }

  private terminate(replica: ExchangeReplica): void {
    const { clock } = this.harness.group.operator.environment;
    this.terminated.add(replica);
    this.harness.machineOf(replica).crash();
    clock.setTimer(RESTART_MS, () => {
      const { bornAt } = replica.options;
      const nextBornAt = bornAt === undefined ? undefined : bornAt + RESTART_MS;
      this.configure(this.harness.restartReplica(replica, nextBornAt));
    });
  }
}
