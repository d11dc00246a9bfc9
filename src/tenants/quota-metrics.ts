/** Counters and gauges of tenants' limits; no label names a tenant, so their number is bounded. */
import { Counter, Gauge, type Registry } from 'prom-client';
import { QuotaDecisionPath } from './quota-decision-path.js';

/** At a gateway. */
export class QuotaClientMetrics {
  readonly decisions: Counter<'result'>;
  readonly frames: Counter;
  readonly bytes: Counter;

  constructor(registry: Registry, isConnected: () => boolean) {
    const registers = [registry];
    this.decisions = new Counter({
      name: 'driftway_gateway_quota_decisions_total',
      help: 'Requests of tenants with a limit, by how they were decided.',
      labelNames: ['result'],
      registers,
    });
    for (const result of Object.values(QuotaDecisionPath)) this.decisions.inc({ result }, 0);
    this.frames = new Counter({
      name: 'driftway_gateway_quota_frames_total',
      help: 'Frames that were sent to the owner of the limits.',
      registers,
    });
    this.bytes = new Counter({
      name: 'driftway_gateway_quota_bytes_total',
      help: 'Bytes that were sent to the owner of the limits.',
      registers,
    });
    new Gauge({
      name: 'driftway_gateway_quota_connected',
      help: 'Whether the owner of the limits answers: 1 if it does.',
      registers,
      collect() {
        this.set(isConnected() ? 1 : 0);
      },
    });
  }
}

/** What the gauges of a controller show when they are read. */
export interface QuotaReadings {
  readonly isOwner: () => boolean;
  readonly tenants: () => number;
}

/** At a controller. */
export class QuotaServerMetrics {
  readonly frames: Counter;
  readonly bytes: Counter;
  readonly requests: Counter<'result'>;

  constructor(registry: Registry, readings: QuotaReadings) {
    const registers = [registry];
    this.frames = new Counter({
      name: 'driftway_controller_quota_frames_total',
      help: 'Frames from gateways about limits of tenants.',
      registers,
    });
    this.bytes = new Counter({
      name: 'driftway_controller_quota_bytes_total',
      help: 'Bytes of those frames and of the answers to them.',
      registers,
    });
    this.requests = new Counter({
      name: 'driftway_controller_quota_requests_total',
      help: 'Requests that gateways asked tokens for, by the answer.',
      labelNames: ['result'],
      registers,
    });
    new Gauge({
      name: 'driftway_controller_quota_owner',
      help: 'Whether this controller grants the tokens of tenants: 1 if it does.',
      registers,
      collect() {
        this.set(readings.isOwner() ? 1 : 0);
      },
    });
    new Gauge({
      name: 'driftway_controller_quota_tenants',
      help: 'Tenants whose use is remembered here.',
      registers,
      collect() {
        this.set(readings.tenants());
      },
    });
  }
}
