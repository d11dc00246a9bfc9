/** Counters of what a gateway does about requests under which replicas end. */
import { Counter, Gauge, type Registry } from 'prom-client';

/** How a trial of a suspected request ended. */
export enum TrialResult {
  Answered = 'answered',
  ReplicaEnded = 'replica_ended',
  /** The replica did not run it, or nobody waited for it any more. */
  Undecided = 'undecided',
}

/** Requests that are held against at the moment. */
export interface QuarantineCounts {
  readonly suspected: number;
  readonly quarantined: number;
}

/** See the module comment. */
export class QuarantineMetrics {
  readonly refused: Counter;
  readonly trials: Counter<'result'>;

  /** `count` is asked when the figures are read, as it looks at all requests that are remembered. */
  constructor(registry: Registry, count: () => QuarantineCounts) {
    const registers = [registry];
    this.refused = new Counter({
      name: 'driftway_gateway_quarantine_refusals_total',
      help: 'Requests that were refused because replicas end under them.',
      registers,
    });
    this.trials = new Counter({
      name: 'driftway_gateway_quarantine_trials_total',
      help: 'Suspected requests that were sent to one replica alone, by what became of it.',
      labelNames: ['result'],
      registers,
    });
    new Gauge({
      name: 'driftway_gateway_suspected_requests',
      help: 'Requests that are tried on one replica alone before others get them.',
      registers,
      collect() {
        this.set(count().suspected);
      },
    });
    new Gauge({
      name: 'driftway_gateway_quarantined_requests',
      help: 'Requests that are refused because replicas end under them.',
      registers,
      collect() {
        this.set(count().quarantined);
      },
    });
  }
}
