/** Counters of the administration API. */
import { Counter, type Registry } from 'prom-client';

/** Counts requests by endpoint and result. */
export class AdministrationMetrics {
  private readonly requests: Counter<'operation' | 'result'>;

  constructor(registry: Registry) {
    this.requests = new Counter({
      name: 'driftway_administration_requests_total',
      help: 'Requests of operators, by operation and by ok or error code.',
      labelNames: ['operation', 'result'],
      registers: [registry],
    });
  }

  count(operation: string, result: string): void {
    this.requests.inc({ operation, result });
  }
}
