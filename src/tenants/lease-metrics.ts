/** Metrics of a gateway's authorization lease. */
import { Counter, Gauge, type Registry } from 'prom-client';

/**
 * Result label of a renewal whose request couldn't be sent; the other results are those of
 * `ConfirmationResult`.
 */
export const UNSENT_RENEWAL = 'unsent';

/** Counts renewals by result and shows whether the lease is held. */
export class LeaseMetrics {
  readonly renewals: Counter<'result'>;

  constructor(registry: Registry, isHeld: () => boolean) {
    const registers = [registry];
    this.renewals = new Counter({
      name: 'driftway_gateway_lease_renewals_total',
      help: 'Requests to confirm that the route document is the newest, by result; unsent: no controller was connected.',
      labelNames: ['result'],
      registers,
    });
    new Gauge({
      name: 'driftway_gateway_lease_held',
      help: '1 while this gateway accepts API keys; 0 when no controller has confirmed the route document recently.',
      registers,
      collect() {
        this.set(isHeld() ? 1 : 0);
      },
    });
  }
}
