/** Who runs where in a simulated fleet. */
import type { DeploymentName } from '../bench/deployment.js';
import { DEPLOYMENTS } from '../bench/deployment.js';

/** A daemon and its zone. */
export interface DaemonPlace {
  readonly name: string;
  readonly zone: string;
}

export const CONTROLLER_COUNT = 3;
export const ROUTER_COUNT = 2;

export const CONTROLLER_HTTP_PORT = 7_300;
export const CONTROLLER_MESSAGE_PORT = 7_301;
export const ROUTER_PORT = 7_400;
export const PLATFORM_PORT = 7_600;

export const PLATFORM_MACHINE = 'platform';
/** Callers and operators stand outside the zones. */
export const OUTSIDE_ZONE = 'outside';

/** Puts `count` daemons into the zones in turn. */
function spread(deployment: DeploymentName, prefix: string, count: number): DaemonPlace[] {
  const { zones } = DEPLOYMENTS[deployment];
  return Array.from({ length: count }, (_daemon, index) => ({
    name: `${prefix}-${index + 1}`,
    zone: zones[index % zones.length] ?? deployment,
  }));
}

/** The controllers, each in a zone of its own. */
export function controllerPlaces(deployment: DeploymentName): DaemonPlace[] {
  return spread(deployment, 'controller', CONTROLLER_COUNT);
}

/** The routers, each in a zone of its own. */
export function routerPlaces(deployment: DeploymentName): DaemonPlace[] {
  return spread(deployment, 'router', ROUTER_COUNT);
}
