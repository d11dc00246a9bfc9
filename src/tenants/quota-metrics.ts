/** Metrics of tenants' limits. No label names a tenant, which bounds the number of time series. */
import { Counter, Gauge, type Registry } from 'prom-client';
import { QuotaDecisionPath } from './quota-decision-path.js';

/** Metrics of a gateway. */
export class QuotaClientMetrics {
  readonly decisions: Counter<'result'>;
  readonly frames: Counter;
  readonly bytes: Counter;

  constructor(registry: Registry, isConnected: () => boolean) {
    const registers = [registry];
    this.decisions = new Counter({
      name: 'driftway_gateway_quota_decisions_total',
      help: 'Requests of tenants with a limit, by decision.',
      labelNames: ['result'],
      registers,
    });
    for (const result of Object.values(QuotaDecisionPath)) this.decisions.inc({ result }, 0);
    this.frames = new Counter({
      name: 'driftway_gateway_quota_frames_total',
      help: 'Frames sent to the quota owner.',
      registers,
    });
    this.bytes = new Counter({
      name: 'driftway_gateway_quota_bytes_total',
      help: 'Bytes sent to the quota owner.',
      registers,
    });
    new Gauge({
      name: 'driftway_gateway_quota_connected',
      help: '1 while the quota owner responds, otherwise 0.',
      registers,
      collect() {
        this.set(isConnected() ? 1 : 0);
      },
    });
  }
}

/** Functions that provide the values of a controller's gauges. */
export interface QuotaReadings {
  readonly isOwner: () => boolean;
  readonly tenants: () => number;
  readonly reservations: () => number;
}

/** Metrics of a controller. */
export class QuotaServerMetrics {
  readonly frames: Counter;
  readonly bytes: Counter;
  readonly requests: Counter<'result'>;

  constructor(registry: Registry, readings: QuotaReadings) {
    const registers = [registry];
    this.frames = new Counter({
      name: 'driftway_controller_quota_frames_total',
      help: 'Quota frames received from gateways.',
      registers,
    });
    this.bytes = new Counter({
      name: 'driftway_controller_quota_bytes_total',
      help: 'Bytes of the quota frames received from gateways and of the responses to them.',
      registers,
    });
    this.requests = new Counter({
      name: 'driftway_controller_quota_requests_total',
      help: 'Requests that gateways asked tokens for or reported, by result; used_before: admitted without a token.',
      labelNames: ['result'],
      registers,
    });
    new Gauge({
      name: 'driftway_controller_quota_owner',
      help: '1 while this controller is the quota owner and grants the tokens of tenants, otherwise 0.',
      registers,
      collect() {
        this.set(readings.isOwner() ? 1 : 0);
      },
    });
    new Gauge({
      name: 'driftway_controller_quota_tenants',
      help: 'Tenants whose token buckets and usage this controller keeps.',
      registers,
      collect() {
        this.set(readings.tenants());
      },
    });
    new Gauge({
      name: 'driftway_controller_quota_reservations',
      help: 'Refused requests of tenants for whose retries this controller has reserved tokens.',
      registers,
      collect() {
        this.set(readings.reservations());
      },
    });
  }
}
