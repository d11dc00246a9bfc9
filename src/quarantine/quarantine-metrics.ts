/** Metrics of a gateway's suspected and quarantined requests. */
import { Counter, Gauge, type Registry } from 'prom-client';

/** How a trial of a suspected request ended. */
export enum TrialResult {
  Answered = 'answered',
  ReplicaEnded = 'replica_ended',
  /**
   * The replica did not run the request, the attempt was abandoned, or its connection was lost
   * while the replica was not found to have terminated.
   */
  Undecided = 'undecided',
}

/** Numbers of requests by their current state. */
export interface QuarantineCounts {
  readonly suspected: number;
  readonly quarantined: number;
}

/** Registers its metrics when it is created. */
export class QuarantineMetrics {
  readonly refused: Counter;
  readonly trials: Counter<'result'>;

  /** @param count Called only when the metrics are scraped, since it iterates over all requests with evidence. */
  constructor(registry: Registry, count: () => QuarantineCounts) {
    const registers = [registry];
    this.refused = new Counter({
      name: 'driftway_gateway_quarantine_refusals_total',
      help: 'Requests refused because replicas terminate when they run them.',
      registers,
    });
    this.trials = new Counter({
      name: 'driftway_gateway_quarantine_trials_total',
      help: 'Trials of suspected requests, each sent to one replica alone, by result.',
      labelNames: ['result'],
      registers,
    });
    new Gauge({
      name: 'driftway_gateway_suspected_requests',
      help: 'Requests that are sent in trials only, to one replica at a time.',
      registers,
      collect() {
        this.set(count().suspected);
      },
    });
    new Gauge({
      name: 'driftway_gateway_quarantined_requests',
      help: 'Requests that are refused because replicas terminate when they run them.',
      registers,
      collect() {
        this.set(count().quarantined);
      },
    });
  }
}
