/** The {@link RouteLatency} of every route, kept across versions of the route document. */
import type { Route } from '../routes/route-document.js';
import { RouteLatency } from './route-latency.js';

/** Stands in for a target where the route names none. Part of its timeout. */
const DEFAULT_TARGET_FRACTION = 0.25;
const MAXIMUM_ROUTES = 10_000;

/** The time within which an answer of the route is of full use. Milliseconds. */
export function targetLatencyOf(route: Route): number {
  return route.targetLatencyMs ?? route.timeoutMs * DEFAULT_TARGET_FRACTION;
}

/** See the module comment. */
export class RouteLatencies {
  private readonly byRoute = new Map<string, RouteLatency>();

  of(route: Route): RouteLatency {
    const key = `${route.host} ${route.pathPrefix}`;
    const known = this.byRoute.get(key);
    if (known !== undefined) return known;
    if (this.byRoute.size >= MAXIMUM_ROUTES) this.byRoute.clear();
    const latency = new RouteLatency(targetLatencyOf(route));
    this.byRoute.set(key, latency);
    return latency;
  }
}
