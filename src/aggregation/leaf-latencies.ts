/** Tracks, for each route, the latency of a leaf's first report on a gather. */
import { targetLatencyOf } from '../gateway/route-latencies.js';
import { LatencyDigest } from '../policies/latency-digest.js';
import type { Route } from '../routes/route-document.js';

const WINDOW_SAMPLES = 400;
/** With fewer samples, the upper bound of the timeout applies. */
const MINIMUM_SAMPLES = 60;
const REFRESH_EVERY_SAMPLES = 30;
/** Quantile of the latencies beyond which a report is unusually late. */
const LATE_QUANTILE = 0.98;
/**
 * Factor on that quantile, as trying another leaf costs a second request to each shard of the
 * group.
 */
const LATE_FACTOR = 1.3;
/** Bounds of the timeout, as fractions of the route's target latency. */
const MINIMUM_TIMEOUT_FRACTION = 0.4;
const MAXIMUM_TIMEOUT_FRACTION = 0.65;
const MAXIMUM_ROUTES = 10_000;

/** Report latencies of one route. Milliseconds. */
class ReportLatency {
  private readonly digest = new LatencyDigest(WINDOW_SAMPLES);
  private samples = 0;
  /** Time without a report after which another leaf is tried. */
  timeoutMs: number;

  constructor(private readonly targetMs: number) {
    this.timeoutMs = targetMs * MAXIMUM_TIMEOUT_FRACTION;
  }

  add(latencyMs: number): void {
    this.digest.addReply(latencyMs);
    this.samples += 1;
    if (this.samples < MINIMUM_SAMPLES || this.samples % REFRESH_EVERY_SAMPLES !== 0) return;
    const late = this.digest.quantile(LATE_QUANTILE) * LATE_FACTOR;
    const { targetMs } = this;
    this.timeoutMs = Math.min(
      Math.max(late, targetMs * MINIMUM_TIMEOUT_FRACTION),
      targetMs * MAXIMUM_TIMEOUT_FRACTION,
    );
  }
}

/** Bounded to {@link MAXIMUM_ROUTES} routes; all are forgotten when another one is added. */
export class LeafLatencies {
  private readonly byRoute = new Map<string, ReportLatency>();

  /** Time without a report after which another leaf is tried. Milliseconds. */
  reportTimeoutMs(route: Route): number {
    return this.of(route).timeoutMs;
  }

  /** Records the latency of a leaf's first report on a gather. Milliseconds. */
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
