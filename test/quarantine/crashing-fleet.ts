/** Gateways over replicas that one request crashes, each a few seconds later back as another one. */
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

/** When the first life of each replica began, where they say it. Unix milliseconds. */
const FIRST_BORN_AT = 1_790_000_000_000;
/** Until a replica that crashed is back. Milliseconds. */
const RESTART_MS = 2_500;
/** In which what one gateway has seen is known at all of them. Milliseconds. */
export const PROPAGATION_MS = 4_000;
/** Replicas that a request may crash before it counts as the cause. */
export const TOLERATED_CRASHES = 3;
/** Sendings of callers that may reach replicas after that. */
export const TOLERATED_LATE_REQUESTS = 3;

/** One crash of a replica. */
interface Crash {
  readonly requestId: string;
  readonly replicaId: string;
  readonly at: number;
}

/** What a fleet consists of. */
export interface CrashingFleetOptions {
  readonly services: readonly string[];
  readonly replicasPerService: number;
  readonly route: TestRoute;
  /** Absent: requests need no API key. */
  readonly tenants?: readonly TestTenant[];
  readonly gateways?: GatewayOverrides;
  /** Whether replicas stop work on a request whose connection was closed. */
  readonly dropsAbandoned?: boolean;
  readonly workMs?: number;
  readonly seed?: number;
  /** Whether replicas come back under the ids that they had. */
  readonly keepsIds?: boolean;
  /** Of the replicas of a service, in turn. */
  readonly zones?: readonly string[];
}

/** See the module comment. */
export class CrashingFleet {
  readonly crashes: Crash[] = [];
  /** Those that ended, and those that run, with what to add to their clocks for the simulation's time. */
  readonly replicas = new Map<ExchangeReplica, number>();
  private readonly terminated = new Set<ExchangeReplica>();
  private calls = 0;

  private constructor(
    readonly harness: GatewayHarness,
    private readonly target: string,
    private readonly options: CrashingFleetOptions,
  ) {}

  /** A fleet whose replicas crash when they run a request to `target`. */
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

  /** Machines of the gateways. */
  get gateways(): readonly SimulatedMachine[] {
    return [this.harness.machine, ...this.harness.others.map(({ machine }) => machine)];
  }

  /** Sends a request, by turns to each gateway. */
  send(call: TestCall): Promise<HttpClientResponse> {
    const gateway = this.gateways[this.calls % this.gateways.length];
    this.calls += 1;
    return this.harness.send({ id: `sending-${this.calls}`, ...call }, gateway);
  }

  call(call: TestCall): Promise<HttpClientResponse> {
    return this.harness.simulation.settle(this.send(call));
  }

  /** Sends the crashing request `count` times, a pause between. */
  async repeat(count: number, pauseMs: number): Promise<number[]> {
    const statuses: number[] = [];
    for (let index = 0; index < count; index += 1) {
      statuses.push((await this.call({ path: this.target })).status);
      await this.harness.simulation.runFor(pauseMs);
    }
    return statuses;
  }

  /** Sendings of callers that reached replicas so much later than the tolerated crashes. */
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

  /** Replicas that have not ended. */
  running(): ExchangeReplica[] {
    return [...this.replicas.keys()].filter((replica) => !this.terminated.has(replica));
  }

  /** Ends the running replicas for which it holds, whatever they do; they come back as others. */
  terminateReplicas(holds: (replica: ExchangeReplica) => boolean): void {
    for (const replica of this.running()) {
      if (holds(replica)) this.terminate(replica);
    }
  }

  /** Lets a replica crash on the request, and come back as another one. */
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
