/** A whole small fleet of shipped daemons and stand-ins on one simulation. */
import type { Address } from '../../src/seams/address.js';
import type { ServiceDefinition, ShardLayout } from '../../src/model/service-definition.js';
import type { DeploymentName } from '../bench/deployment.js';
import { BackendLedger } from '../ledger/backend-ledger.js';
import { PlatformList } from '../platform/platform-list.js';
import { EPOCH_START } from '../simulation/simulated-clock.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import type { Simulation } from '../simulation/simulation.js';
import type { BrokenSwitches } from './broken-rules.js';
import {
  CONTROLLER_HTTP_PORT,
  controllerPlaces,
  OUTSIDE_ZONE,
  PLATFORM_MACHINE,
  PLATFORM_PORT,
  ROUTER_PORT,
  routerPlaces,
} from './fleet-addresses.js';
import { ManagedProcess } from './managed-process.js';
import type { Repartitioner } from './repartitioner.js';
import { RouterLosses } from './router-losses.js';
import { SimulatedBackend } from './simulated-backend.js';
import {
  startController,
  startRouter,
  type DaemonContext,
  type SimulatedController,
  type SimulatedRouter,
} from './simulated-daemons.js';
import { defineScaledServices } from './simulated-deployment.js';
import type { Timeline } from './timeline.js';

/** How late the platform's list tells. Milliseconds. */
const PLATFORM_LAG = 2_000;
/** Time to the restart of a controller that ended itself. Milliseconds. */
const FAILURE_RESTART = 1_000;

/** A revision that a router put in force, as the router itself saw it. */
export interface RevisionInForce {
  readonly router: string;
  readonly life: number;
  readonly revision: number;
  /** Virtual milliseconds. */
  readonly at: number;
}

/** See the module comment. */
export class Fleet {
  readonly controllers: readonly ManagedProcess<SimulatedController>[];
  readonly routers: readonly ManagedProcess<SimulatedRouter>[];
  readonly backends = new Map<string, SimulatedBackend>();
  readonly services: readonly ServiceDefinition[];
  readonly backendLedger: BackendLedger;
  readonly routerLosses: RouterLosses;
  readonly revisions: RevisionInForce[] = [];
  private readonly context: DaemonContext;
  /** Splits services; set by the operators of the run. */
  repartitioner: Repartitioner | undefined;
  private readonly newestVersion = new Map<string, number>();
  private readonly layouts = new Map<string, ShardLayout>();
  private platformList: PlatformList | undefined;

  constructor(
    readonly simulation: Simulation,
    deployment: DeploymentName,
    readonly timeline: Timeline,
    broken: BrokenSwitches,
  ) {
    const wallTime = (): number => EPOCH_START + simulation.now;
    this.backendLedger = new BackendLedger({ wallTime });
    this.routerLosses = new RouterLosses(wallTime);
    const platform = simulation.createMachine(PLATFORM_MACHINE, OUTSIDE_ZONE);
    const machines = controllerPlaces(deployment).map(({ name, zone }) =>
      simulation.createMachine(name, zone),
    );
    this.context = { deployment, controllers: machines, platform, timeline, broken };
    this.controllers = machines.map((machine) => this.manageController(machine));
    this.routers = routerPlaces(deployment).map(({ name, zone }) =>
      this.manageRouter(simulation.createMachine(name, zone)),
    );
    this.services = defineScaledServices(deployment, (replicaId, zone) => {
      return simulation.createMachine(replicaId, zone).host;
    });
    this.manageBackends();
  }

  /** Starts everything; the control plane is still empty then. */
  async start(): Promise<void> {
    this.platformList = await PlatformList.start(this.context.platform.environment, {
      address: { host: this.context.platform.host, port: PLATFORM_PORT },
      lag: PLATFORM_LAG,
    });
    for (const process of this.processes()) await process.start();
  }

  /** Every process under a process manager. */
  processes(): ManagedProcess<{ stop(): Promise<void> }>[] {
    const backends = [...this.backends.values()].map(({ process }) => process);
    return [...this.controllers, ...this.routers, ...backends];
  }

  /** @throws RangeError when there is none of that name. */
  process(name: string): ManagedProcess<{ stop(): Promise<void> }> {
    const found = this.processes().find((process) => process.name === name);
    if (found === undefined) throw new RangeError(`no process ${name}`);
    return found;
  }

  /** Where operators reach the controllers. */
  controllerAddresses(): Address[] {
    return this.controllers.map(({ machine: { host } }) => ({ host, port: CONTROLLER_HTTP_PORT }));
  }

  /** Where callers reach a router. */
  routerAddress({ machine: { host } }: ManagedProcess<SimulatedRouter>): Address {
    return { host, port: ROUTER_PORT };
  }

  /** The newest layout of a service that its back ends take up. */
  layoutOf(service: string): ShardLayout {
    const layout = this.layouts.get(service);
    if (layout === undefined) throw new RangeError(`no service ${service}`);
    return layout;
  }

  /** Makes the next index version of a service and gives it to its replicas over `spread`. */
  publish(service: string, spread: number): void {
    const indexVersion = (this.newestVersion.get(service) ?? 1) + 1;
    this.newestVersion.set(service, indexVersion);
    const { layoutEpoch, shards } = this.layoutOf(service);
    const holders = shards.flatMap(({ shardId, replicas }) =>
      replicas.map(({ replicaId }) => ({ replicaId, shardId })),
    );
    holders.forEach(({ replicaId, shardId }, index) => {
      const at = this.simulation.now + (spread * index) / holders.length;
      const snapshot = { layoutEpoch, indexVersion };
      this.simulation.at(at, () => this.backends.get(replicaId)?.publish(snapshot, [shardId]));
    });
  }

  /** Gives a service a new layout, which its back ends take up over `spread`. */
  takeUpLayout(service: string, layout: ShardLayout, spread: number): void {
    this.layouts.set(service, layout);
    this.publish(service, spread);
  }

  private manageController(machine: SimulatedMachine): ManagedProcess<SimulatedController> {
    const process: ManagedProcess<SimulatedController> = new ManagedProcess(
      this.simulation,
      machine,
      this.timeline,
      (environment) => {
        const life = process.lifeNumber;
        return startController(this.context, machine, environment, (reason) => {
          if (process.lifeNumber !== life) return;
          this.timeline.note(`${machine.name} ended itself: ${reason}`);
          process.crash({ power: false, downtime: FAILURE_RESTART });
        });
      },
    );
    return process;
  }

  private manageRouter(machine: SimulatedMachine): ManagedProcess<SimulatedRouter> {
    const { name } = machine;
    const process: ManagedProcess<SimulatedRouter> = new ManagedProcess(
      this.simulation,
      machine,
      this.timeline,
      (environment) => {
        const life = process.lifeNumber;
        return startRouter(this.context, machine, environment, (revision) => {
          this.revisions.push({ router: name, life, revision, at: this.simulation.now });
        });
      },
      {
        onStarted: () => this.routerLosses.end(name),
        onCrashed: () => this.routerLosses.begin(name),
      },
    );
    return process;
  }

  private manageBackends(): void {
    const context = {
      simulation: this.simulation,
      timeline: this.timeline,
      ledger: this.backendLedger,
      platform: () => this.platformList,
    };
    for (const { name, layouts } of this.services) {
      for (const layout of layouts) this.layouts.set(name, layout);
      for (const { shardId, replicas } of layouts.flatMap(({ shards }) => shards)) {
        for (const replica of replicas) {
          const machine = this.simulation.machine(replica.replicaId);
          const backend = new SimulatedBackend(context, machine, name, [shardId], replica);
          this.backends.set(replica.replicaId, backend);
        }
      }
    }
  }
}
