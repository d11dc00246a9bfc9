/** Prometheus metrics of a gateway's requests, attempts and gathers. */
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';

/** Upper bounds of the latency buckets. Seconds. */
const LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];
/** Upper bounds of the buckets of how late gathers are read. Seconds. */
const GATHER_DELAY_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 2];
/** Upper bounds of the buckets of how late answers are. Seconds. */
const LATENESS_BUCKETS = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 2];
/** Upper bounds of the buckets of the time to put a route document in force. Seconds. */
const DOCUMENT_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2];

/** Registers all metrics with the registry when created; create it once per registry. */
export class GatewayMetrics {
  readonly requests: Counter<'status'>;
  readonly refusals: Counter<'reason'>;
  readonly keyRefusals: Counter<'reason'>;
  readonly attempts: Counter<'result'>;
  readonly hedges: Counter;
  readonly hedgesRefused: Counter<'reason'>;
  readonly addressChecks: Counter<'result'>;
  readonly missingParts: Counter;
  readonly gathers: Counter<'result'>;
  readonly gathersRepeated: Counter;
  readonly gatherDelay: Histogram;
  readonly unreadableReports: Counter;
  readonly latency: Histogram;
  readonly lateness: Histogram;
  readonly routeVersion: Gauge;
  readonly evacuatedZones: Gauge;
  readonly leaves: Gauge;
  readonly routeDocumentSeconds: Histogram;

  constructor(registry: Registry) {
    const registers = [registry];
    this.requests = new Counter({
      name: 'driftway_gateway_requests_total',
      help: 'Requests from callers, by response status.',
      labelNames: ['status'],
      registers,
    });
    this.refusals = new Counter({
      name: 'driftway_gateway_refusals_total',
      help: 'Requests that the gateway refused before it chose a replica, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.keyRefusals = new Counter({
      name: 'driftway_gateway_key_refusals_total',
      help: 'Requests refused with 401, by what is wrong with their API key.',
      labelNames: ['reason'],
      registers,
    });
    this.attempts = new Counter({
      name: 'driftway_gateway_attempts_total',
      help: 'Attempts sent to replicas, by result.',
      labelNames: ['result'],
      registers,
    });
    this.hedges = new Counter({
      name: 'driftway_gateway_hedges_total',
      help: 'Hedges: attempts sent to a second replica because the first was late.',
      registers,
    });
    this.hedgesRefused = new Counter({
      name: 'driftway_gateway_hedges_refused_total',
      help: 'Hedges of requests to many shards that were due and not sent, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.addressChecks = new Counter({
      name: 'driftway_gateway_address_checks_total',
      help: 'Health checks of addresses at which several replicas are registered, by result.',
      labelNames: ['result'],
      registers,
    });
    this.missingParts = new Counter({
      name: 'driftway_gateway_missing_parts_total',
      help: 'Shards missing from merged responses.',
      registers,
    });
    this.gathers = new Counter({
      name: 'driftway_gateway_gathers_total',
      help: 'Shard groups that other gateways requested, by whether the gather was started.',
      labelNames: ['result'],
      registers,
    });
    this.gathersRepeated = new Counter({
      name: 'driftway_gateway_gathers_repeated_total',
      help: 'Shard groups requested from another gateway because the first did not respond.',
      registers,
    });
    this.gatherDelay = new Histogram({
      name: 'driftway_gateway_gather_delay_seconds',
      help: 'How late this gateway read the shard groups that other gateways requested.',
      buckets: GATHER_DELAY_BUCKETS,
      registers,
    });
    this.unreadableReports = new Counter({
      name: 'driftway_gateway_unreadable_load_reports_total',
      help: 'Load reports from replicas that could not be parsed.',
      registers,
    });
    this.latency = new Histogram({
      name: 'driftway_gateway_latency_seconds',
      help: 'Time from receipt of a request to its response.',
      buckets: LATENCY_BUCKETS,
      registers,
    });
    this.lateness = new Histogram({
      name: 'driftway_gateway_lateness_seconds',
      help: 'By how much merged answers that came after the target latency of their route missed it.',
      buckets: LATENESS_BUCKETS,
      registers,
    });
    this.evacuatedZones = new Gauge({
      name: 'driftway_gateway_evacuated_zones',
      help: 'Evacuated zones, whose replicas get no new requests.',
      registers,
    });
    this.leaves = new Gauge({
      name: 'driftway_gateway_leaves',
      help: 'Leaf gateways that this gateway divides requests to many shards among.',
      registers,
    });
    this.routeDocumentSeconds = new Histogram({
      name: 'driftway_gateway_route_document_seconds',
      help: 'Time for which putting a route document in force kept the gateway from requests.',
      buckets: DOCUMENT_BUCKETS,
      registers,
    });
    this.routeVersion = new Gauge({
      name: 'driftway_gateway_route_version',
      help: 'Version of the route document in force at this gateway.',
      registers,
    });
  }
}
