/** Keeps the {@link RouteLatency} of every route across versions of the route document. */
import type { Route } from '../routes/route-document.js';
import { RouteLatency } from './route-latency.js';

/** Target latency of a route that sets none, as a fraction of its timeout. */
const DEFAULT_TARGET_FRACTION = 0.25;
const MAXIMUM_ROUTES = 10_000;

/** Latency within which an answer of the route has its full value. Milliseconds. */
export function targetLatencyOf(route: Route): number {
  return route.targetLatencyMs ?? route.timeoutMs * DEFAULT_TARGET_FRACTION;
}

/** Latency statistics by host and path prefix. */
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
