/** Controllers and gateways over several zones on one simulation, as they are deployed. */
import { Registry } from 'prom-client';
import { controllerConfigurationSchema } from '../../src/configuration/controller-configuration.js';
import { gatewayConfigurationSchema } from '../../src/configuration/gateway-configuration.js';
import { ControllerDaemon } from '../../src/control/controller-daemon.js';
import { GatewayDaemon } from '../../src/gateway/gateway-daemon.js';
import { SILENT_LOGGER, type LogFields, type Logger } from '../../src/observability/logger.js';
import type { Address } from '../../src/seams/address.js';
import type { DurableEnvironment } from '../../src/seams/environment.js';
import { ManagedProcess, type RunningProcess } from '../simulate/managed-process.js';
import { Timeline } from '../simulate/timeline.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import type { Simulation } from '../simulation/simulation.js';
import type { RolloutLedger } from './rollout-ledger.js';
import type { RolloutOptions } from './rollout-options.js';

const CLUSTER = { id: 'rollout', key: 'key-of-the-simulated-cluster' };
const REGION = 'dohoku';
const MESSAGE_PORT = 7500;
const REGISTRATION_PORT = 7600;
const HTTP_PORT = 7400;
const CALLER_PORT = 8000;
const HEALTH_PORT = 8001;
const GATHER_PORT = 8002;
/** Controllers by which the others find the group. */
const SEEDS = 3;
/** As short as a fleet with fast disks sets it. Milliseconds. */
const ELECTION_TIMEOUT_MS = 400;
const STOP_GRACE_MS = 4_000;

type Process = ManagedProcess<RunningProcess>;

/** See the module comment. */
export class RolloutFleet {
  readonly controllers: Process[] = [];
  readonly gateways: Process[] = [];
  /** Of each controller process, for what it counted. */
  readonly registries: Registry[] = [];
  private readonly timeline: Timeline;

  constructor(
    private readonly simulation: Simulation,
    private readonly ledger: RolloutLedger,
    { zones, controllers, gatewaysPerZone }: RolloutOptions,
  ) {
    this.timeline = new Timeline(() => simulation.now);
    const zoneNames = Array.from({ length: zones }, (_zone, index) => `zone-${index + 1}`);
    for (const zone of zoneNames.slice(0, controllers)) {
      const machine = simulation.createMachine(`controller-${zone}`, zone);
      this.controllers.push(this.manageController(machine));
    }
    for (const zone of zoneNames) {
      for (let index = 1; index <= gatewaysPerZone; index += 1) {
        const machine = simulation.createMachine(`gateway-${zone}-${index}`, zone);
        this.gateways.push(this.manageGateway(machine));
      }
    }
  }

  async start(): Promise<void> {
    for (const process of [...this.controllers, ...this.gateways]) await process.start();
  }

  /** Where an operator reaches a controller. */
  registrationAddress({ machine: { host } }: Process): Address {
    return { host, port: REGISTRATION_PORT };
  }

  /** Where callers reach a gateway. */
  callerAddress({ machine: { host } }: Process): Address {
    return { host, port: CALLER_PORT };
  }

  private manageController(machine: SimulatedMachine): Process {
    let firstStart = true;
    const start = (environment: DurableEnvironment): Promise<RunningProcess> => {
      const started = this.startController(machine, environment, firstStart);
      firstStart = false;
      return started;
    };
    return new ManagedProcess(this.simulation, machine, this.timeline, start);
  }

  private manageGateway(machine: SimulatedMachine): Process {
    const { simulation, ledger } = this;
    const start = (environment: DurableEnvironment): Promise<RunningProcess> => {
      ledger.noteStarted(machine.name, simulation.now);
      return this.startGateway(machine, environment);
    };
    return new ManagedProcess(simulation, machine, this.timeline, start, {
      onCrashed: (name) => ledger.noteEnded(name, simulation.now),
      onStopping: (name) => ledger.noteEnded(name, simulation.now),
    });
  }

  private controllerAddresses(): string[] {
    return this.controllers.map(({ machine: { host } }) => `${host}:${MESSAGE_PORT}`);
  }

  private startController(
    { host, zone }: SimulatedMachine,
    environment: DurableEnvironment,
    firstStart: boolean,
  ): Promise<RunningProcess> {
    const seeds = this.controllerAddresses().slice(0, SEEDS);
    const configuration = controllerConfigurationSchema.parse({
      memberId: 'unused',
      region: REGION,
      zone,
      cluster: CLUSTER,
      dataFolder: 'unused',
      listen: {
        http: `${host}:${HTTP_PORT}`,
        messages: `${host}:${MESSAGE_PORT}`,
        registration: `${host}:${REGISTRATION_PORT}`,
      },
      consensus: { electionTimeoutMs: ELECTION_TIMEOUT_MS },
      initialMembers: [{ memberId: 'unused', address: `${host}:${MESSAGE_PORT}`, zone }],
      automaticMembership: { seeds, firstStart },
    });
    const registry = new Registry();
    this.registries.push(registry);
    return ControllerDaemon.start(environment, configuration, { logger: SILENT_LOGGER, registry });
  }

  private startGateway(
    { host, name, zone }: SimulatedMachine,
    environment: DurableEnvironment,
  ): Promise<RunningProcess> {
    const configuration = gatewayConfigurationSchema.parse({
      name,
      region: REGION,
      zone,
      cluster: CLUSTER,
      listen: {
        http: `${host}:${CALLER_PORT}`,
        health: `${host}:${HEALTH_PORT}`,
        messages: `${host}:${GATHER_PORT}`,
      },
      controllers: this.controllerAddresses(),
      secondSends: { ratio: 0.2, slack: 10 },
      stopGraceMs: STOP_GRACE_MS,
    });
    const telemetry = { logger: this.watchRoutes(name), registry: new Registry() };
    return GatewayDaemon.start(environment, configuration, telemetry);
  }

  /** Notes each route document that the gateway says to be in force. */
  private watchRoutes(gateway: string): Logger {
    const info = (message: string, fields: LogFields = {}): void => {
      if (message !== 'route document in force') return;
      this.ledger.noteInForce(gateway, Number(fields['version']), this.simulation.now);
    };
    const logger: Logger = { ...SILENT_LOGGER, info, child: () => logger };
    return logger;
  }
}
