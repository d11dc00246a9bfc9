/** The metrics that each daemon registers, learnt by starting one of each on the simulator. */
import { Registry } from 'prom-client';
import { controllerConfigurationSchema } from '../../src/configuration/controller-configuration.js';
import { gatewayConfigurationSchema } from '../../src/configuration/gateway-configuration.js';
import { routerConfigurationSchema } from '../../src/configuration/router-configuration.js';
import { ControllerDaemon } from '../../src/control/controller-daemon.js';
import { ControlStreamClient } from '../../src/control-stream/control-stream-client.js';
import { GatewayDaemon } from '../../src/gateway/gateway-daemon.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { RouterDaemon } from '../../src/router/router-daemon.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import { Simulation } from '../simulation/simulation.js';

const SEED = 1;
const CLUSTER = { id: 'documentation', key: 'a-long-random-secret' };
const PLACE = { region: 'dohoku', zone: 'nayoro' };

/** One metric as it was registered. */
export interface RegisteredMetric {
  readonly name: string;
  readonly type: string;
  readonly help: string;
  readonly labels: readonly string[];
}

/** The project's own; those of the Node.js process are prom-client's defaults. */
export interface DaemonMetrics {
  readonly controller: readonly RegisteredMetric[];
  readonly router: readonly RegisteredMetric[];
  readonly gateway: readonly RegisteredMetric[];
}

/** What prom-client keeps of a metric besides its public type. */
interface MetricParts {
  readonly name: string;
  readonly help: string;
  readonly labelNames: readonly string[];
}

async function describeMetrics(registry: Registry): Promise<RegisteredMetric[]> {
  const types = new Map(
    (await registry.getMetricsAsJSON()).map(({ name, type }) => [name, String(type)]),
  );
  return (registry.getMetricsAsArray() as unknown as MetricParts[])
    .map(({ name, help, labelNames }) => ({
      name,
      help,
      type: types.get(name) ?? 'unknown',
      labels: labelNames,
    }))
    .sort((left, right) => (left.name < right.name ? -1 : 1));
}

async function startController(simulation: Simulation, host: SimulatedMachine): Promise<Registry> {
  const registry = new Registry();
  const messages = `${host.host}:7500`;
  const configuration = controllerConfigurationSchema.parse({
    memberId: host.name,
    ...PLACE,
    cluster: CLUSTER,
    dataFolder: 'unused',
    listen: { http: `${host.host}:7400`, messages },
    initialMembers: [{ memberId: host.name, address: messages, zone: PLACE.zone }],
    platformList: `${host.host}:7600`,
    tenants: { quota: {} },
  });
  const telemetry = { logger: SILENT_LOGGER, registry };
  await simulation.settle(ControllerDaemon.start(host.environment, configuration, telemetry));
  return registry;
}

async function startRouter(
  simulation: Simulation,
  { environment, name, host }: SimulatedMachine,
  controller: SimulatedMachine,
): Promise<Registry> {
  const registry = new Registry();
  const address = `${controller.host}:7500`;
  const configuration = routerConfigurationSchema.parse({
    name,
    ...PLACE,
    cluster: CLUSTER,
    listen: { http: `${host}:7400` },
    controllers: [{ memberId: controller.name, address, zone: PLACE.zone }],
  });
  const telemetry = { logger: SILENT_LOGGER, registry };
  const source = ControlStreamClient.start(environment, configuration, telemetry);
  await simulation.settle(RouterDaemon.start(environment, configuration, source, telemetry));
  return registry;
}

async function startGateway(
  simulation: Simulation,
  { environment, name, host }: SimulatedMachine,
  controller: SimulatedMachine,
): Promise<Registry> {
  const registry = new Registry();
  const configuration = gatewayConfigurationSchema.parse({
    name,
    ...PLACE,
    cluster: CLUSTER,
    listen: { http: `${host}:7400`, health: `${host}:7401` },
    controllers: [`${controller.host}:7500`],
    tenants: { quota: {} },
  });
  const telemetry = { logger: SILENT_LOGGER, registry };
  await simulation.settle(GatewayDaemon.start(environment, configuration, telemetry));
  return registry;
}

/** Starts the daemons in virtual time and reads their registries. */
export async function daemonMetrics(): Promise<DaemonMetrics> {
  const simulation = new Simulation(SEED);
  const [controller, router, gateway] = ['controller-1', 'router-1', 'gateway-1'].map((name) =>
    simulation.createMachine(name, PLACE.zone),
  ) as [SimulatedMachine, SimulatedMachine, SimulatedMachine];
  const controllerRegistry = await startController(simulation, controller);
  const gatewayRegistry = await startGateway(simulation, gateway, controller);
  const routerRegistry = await startRouter(simulation, router, controller);
  return {
    controller: await describeMetrics(controllerRegistry),
    router: await describeMetrics(routerRegistry),
    gateway: await describeMetrics(gatewayRegistry),
  };
}
