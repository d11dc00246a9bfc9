/** How long leaves take until they first report on a gather, for each route. */
import { targetLatencyOf } from '../gateway/route-latencies.js';
import { LatencyDigest } from '../policies/latency-digest.js';
import type { Route } from '../routes/route-document.js';

const WINDOW = 400;
/** Below this many samples the bounds stand in. */
const LEAST_SAMPLES = 60;
const REFRESH_EVERY = 30;
/** A report that is later than this part of them is unusual. */
const LATE_QUANTILE = 0.98;
/** Factor on that quantile: asking another leaf costs a second request to each shard of the group. */
const LATE_FACTOR = 1.3;
/** Parts of the route's target that bound the time after which another leaf is asked. */
const SHORTEST_PART = 0.4;
const LONGEST_PART = 0.65;
const MAXIMUM_ROUTES = 10_000;

/** Of one route. Milliseconds. */
class ReportLatency {
  private readonly digest = new LatencyDigest(WINDOW);
  private samples = 0;
  /** Time after which another leaf is asked. */
  patience: number;

  constructor(private readonly target: number) {
    this.patience = target * LONGEST_PART;
  }

  add(latency: number): void {
    this.digest.addReply(latency);
    this.samples += 1;
    if (this.samples < LEAST_SAMPLES || this.samples % REFRESH_EVERY !== 0) return;
    const late = this.digest.quantile(LATE_QUANTILE) * LATE_FACTOR;
    const { target } = this;
    this.patience = Math.min(Math.max(late, target * SHORTEST_PART), target * LONGEST_PART);
  }
}

/** See the module comment. */
export class LeafLatencies {
  private readonly byRoute = new Map<string, ReportLatency>();

  /** Time without a report after which another leaf is asked. Milliseconds. */
  patience(route: Route): number {
    return this.of(route).patience;
  }

  /** A leaf reported for the first time. */
  noteReport(route: Route, latency: number): void {
    this.of(route).add(latency);
  }

  private of(route: Route): ReportLatency {
    const key = `${route.host} ${route.pathPrefix}`;
    const known = this.byRoute.get(key);
    if (known !== undefined) return known;
    if (this.byRoute.size >= MAXIMUM_ROUTES) this.byRoute.clear();
    const latency = new ReportLatency(targetLatencyOf(route));
    this.byRoute.set(key, latency);
    return latency;
  }
}
