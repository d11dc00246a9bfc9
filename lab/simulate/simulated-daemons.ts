/** Starts the shipped daemons on simulated machines, as the command line starts them on real ones. */
import { Registry } from 'prom-client';
import { controllerConfigurationSchema } from '../../src/configuration/controller-configuration.js';
import { routerConfigurationSchema } from '../../src/configuration/router-configuration.js';
import { ControllerDaemon } from '../../src/control/controller-daemon.js';
import { ControlStreamClient } from '../../src/control-stream/control-stream-client.js';
import { observe } from '../../src/control-stream/observe.js';
import { RouterDaemon } from '../../src/router/router-daemon.js';
import type { DurableEnvironment } from '../../src/seams/environment.js';
import { hashToken } from '../../src/settings/token-text.js';
import type { DeploymentName } from '../bench/deployment.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import type { BrokenSwitches } from './broken-rules.js';
import {
  CONTROLLER_HTTP_PORT,
  CONTROLLER_MESSAGE_PORT,
  PLATFORM_PORT,
  ROUTER_PORT,
} from './fleet-addresses.js';
import type { RunningProcess } from './managed-process.js';
import type { Timeline } from './timeline.js';

/** Of every simulated fleet; opens nothing else. */
export const OPERATOR_TOKEN = `dwt_simulation_${'s'.repeat(43)}`;
const CLUSTER_KEY = 'key-of-the-simulated-cluster';

/** What the daemons of a fleet share. */
export interface DaemonContext {
  readonly deployment: DeploymentName;
  readonly controllers: readonly SimulatedMachine[];
  readonly platform: SimulatedMachine;
  readonly timeline: Timeline;
  readonly broken: BrokenSwitches;
}

/** A running controller. */
export interface SimulatedController extends RunningProcess {
  readonly daemon: ControllerDaemon;
}

/** A running router. */
export interface SimulatedRouter extends RunningProcess {
  /** Undefined before the first configuration arrived. */
  revision(): number | undefined;
}

function controllerEndpoints({ controllers }: DaemonContext): object[] {
  return controllers.map(({ name, zone, host }) => ({
    memberId: name,
    zone,
    address: `${host}:${CONTROLLER_MESSAGE_PORT}`,
  }));
}

function cluster({ deployment }: DaemonContext): object {
  return { id: deployment, key: CLUSTER_KEY };
}

/** Starts a controller; `onFailure` runs when it can no longer vouch for its state. */
export async function startController(
  context: DaemonContext,
  machine: SimulatedMachine,
  environment: DurableEnvironment,
  onFailure: (reason: string) => void,
): Promise<SimulatedController> {
  const { host, name, zone } = machine;
  const configuration = controllerConfigurationSchema.parse({
    memberId: name,
    region: context.deployment,
    zone,
    cluster: cluster(context),
    dataFolder: 'data',
    listen: {
      http: `${host}:${CONTROLLER_HTTP_PORT}`,
      messages: `${host}:${CONTROLLER_MESSAGE_PORT}`,
    },
    initialMembers: controllerEndpoints(context),
    administration: { bootstrapTokenHash: hashToken(OPERATOR_TOKEN) },
    platformList: `${context.platform.host}:${PLATFORM_PORT}`,
  });
  const telemetry = { logger: context.timeline.logger(name), registry: new Registry() };
  const { broken } = context;
  const daemon = await ControllerDaemon.start(
    environment,
    configuration,
    telemetry,
    broken.controlStream,
    broken.raft,
  );
  void daemon.failure.then((cause) => onFailure(cause.message));
  return { daemon, stop: () => daemon.stop() };
}

/** Starts a router with its control stream; `onRevision` runs for each revision put in force. */
export async function startRouter(
  context: DaemonContext,
  machine: SimulatedMachine,
  environment: DurableEnvironment,
  onRevision: (revision: number) => void,
): Promise<SimulatedRouter> {
  const { host, name, zone } = machine;
  const configuration = routerConfigurationSchema.parse({
    name,
    region: context.deployment,
    zone,
    cluster: cluster(context),
    listen: { http: `${host}:${ROUTER_PORT}` },
    controllers: controllerEndpoints(context),
  });
  const telemetry = { logger: context.timeline.logger(name), registry: new Registry() };
  const { broken } = context;
  const source = ControlStreamClient.start(
    environment,
    configuration,
    telemetry,
    broken.controlStream,
  );
  observe(source.revisions, ({ revision }) => onRevision(revision));
  const router = await RouterDaemon.start(
    environment,
    configuration,
    source,
    telemetry,
    broken.router,
  );
  return {
    revision: () => source.current()?.revision,
    stop: async () => {
      await router.stop();
      await source.close();
    },
  };
}
