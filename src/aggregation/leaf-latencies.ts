/** How long leaves take until they first report on a gather, for each route. */
import { targetLatencyOf } from '../gateway/route-latencies.js';
import { LatencyDigest } from '../policies/latency-digest.js';
import type { Route } from '../routes/route-document.js';

const WINDOW_SAMPLES = 400;
/** Below this many samples the bounds stand in. */
const MINIMUM_SAMPLES = 60;
const REFRESH_EVERY_SAMPLES = 30;
/** A report that is later than this part of them is unusual. */
const LATE_QUANTILE = 0.98;
/** Factor on that quantile: asking another leaf costs a second request to each shard of the group. */
const LATE_FACTOR = 1.3;
/** Parts of the route's target that bound the time after which another leaf is asked. */
const MINIMUM_TIMEOUT_FRACTION = 0.4;
const MAXIMUM_TIMEOUT_FRACTION = 0.65;
const MAXIMUM_ROUTES = 10_000;

/** Of one route. Milliseconds. */
class ReportLatency {
  private readonly digest = new LatencyDigest(WINDOW_SAMPLES);
  private samples = 0;
  /** Time after which another leaf is asked. */
  timeoutMs: number;

  constructor(private readonly targetMs: number) {
    this.timeoutMs = targetMs * MAXIMUM_TIMEOUT_FRACTION;
  }

  add(latencyMs: number): void {
    this.digest.addReply(latencyMs);
    this.samples += 1;
    if (this.samples < MINIMUM_SAMPLES || this.samples % REFRESH_EVERY_SAMPLES !== 0) return;
    const late = this.digest.quantile(LATE_QUANTILE) * LATE_FACTOR;
    const { targetMs: targetMs } = this;
    this.timeoutMs = Math.min(
      Math.max(late, targetMs * MINIMUM_TIMEOUT_FRACTION),
      targetMs * MAXIMUM_TIMEOUT_FRACTION,
    );
  }
}

/** See the module comment. */
export class LeafLatencies {
  private readonly byRoute = new Map<string, ReportLatency>();

  /** Time without a report after which another leaf is asked. Milliseconds. */
  reportTimeoutMs(route: Route): number {
    return this.of(route).timeoutMs;
  }

  /** A leaf reported for the first time. */
  recordReport(route: Route, latencyMs: number): void {
    this.of(route).add(latencyMs);
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
