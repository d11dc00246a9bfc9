/** Counters of the router. */
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';

const LATENCY_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30];

/** All metrics of one router, in the registry it was given. */
export class RouterMetrics {
  /** Outcome: `answered` or the code of the error, or `caller_gone`. */
  readonly queries;
  readonly attempts;
  readonly droppedReplies;
  readonly refusals;
  readonly replannedQueries;
  readonly joinedResends;
  readonly queriesInFlight;
  /** Seconds, as is usual for Prometheus. */
  readonly duration;

  constructor(registry: Registry) {
    const registers = [registry];
    this.queries = new Counter({
      name: 'driftway_router_queries_total',
      help: 'Queries by service and outcome.',
      labelNames: ['service', 'outcome'] as const,
      registers,
    });
    this.attempts = new Counter({
      name: 'driftway_router_attempts_total',
      help: 'Requests to back ends by service and kind.',
      labelNames: ['service', 'kind'] as const,
      registers,
    });
    this.droppedReplies = new Counter({
      name: 'driftway_router_dropped_replies_total',
      help: 'Replies of back ends that were not used, by reason.',
      labelNames: ['reason'] as const,
      registers,
    });
    this.refusals = new Counter({
      name: 'driftway_router_refusals_total',
      help: 'Queries refused before anything was sent, by reason.',
      labelNames: ['reason'] as const,
      registers,
    });
    this.replannedQueries = new Counter({
      name: 'driftway_router_planned_afresh_total',
      help: 'Queries planned a second time because shards lacked their snapshot.',
      registers,
    });
    this.joinedResends = new Counter({
      name: 'driftway_router_joined_resends_total',
      help: 'Resends that were given the outcome of the first request.',
      registers,
    });
    this.queriesInFlight = new Gauge({
      name: 'driftway_router_queries_in_flight',
      help: 'Queries received and not yet answered.',
      registers,
    });
    this.duration = new Histogram({
      name: 'driftway_router_query_duration_seconds',
      help: 'Time from receipt of a query to its answer.',
      labelNames: ['service'] as const,
      buckets: LATENCY_BUCKETS,
      registers,
    });
  }
}
