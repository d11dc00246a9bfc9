/** Counters of a gateway's authorization lease. */
import { Counter, Gauge, type Registry } from 'prom-client';

/** What became of an ask for a longer lease, besides a `ConfirmationResult`. */
export const UNSENT_RENEWAL = 'unsent';

/** See the module comment. */
export class LeaseMetrics {
  readonly renewals: Counter<'result'>;

  constructor(registry: Registry, isHeld: () => boolean) {
    const registers = [registry];
    this.renewals = new Counter({
      name: 'driftway_gateway_lease_renewals_total',
      help: 'Asks whether the route document is the newest, by what the answer gave; unsent: no controller was followed.',
      labelNames: ['result'],
      registers,
    });
    new Gauge({
      name: 'driftway_gateway_lease_held',
      help: 'Whether API keys are accepted here: 1, or 0 since no controller has confirmed the routes lately.',
      registers,
      collect() {
        this.set(isHeld() ? 1 : 0);
      },
    });
  }
}
