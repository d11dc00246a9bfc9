/** Tells how far gateways are with the route document; see `RegistrationPart`. */
import type { GatewayRoutes } from '../directory/gateway-routes.js';

export interface RouteTracker {
  /** The newest version that this controller knows to be accepted; undefined before the first. */
  readonly routeVersion: number | undefined;
  /** Of the gateways that follow this controller. */
  gatewayRoutes(): readonly GatewayRoutes[];
}
