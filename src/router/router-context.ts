/** Dependencies shared by all queries of a router. */
import type { ReplicaRegistry } from '../membership/replica-registry.js';
import type { Environment } from '../seams/environment.js';
import type { IdentifierSequence } from './identifier-sequence.js';
import type { RouterFaults } from './router-faults.js';
import type { RouterMetrics } from './router-metrics.js';

/** Passed to every step of a query. */
export interface RouterContext {
  readonly environment: Environment;
  readonly registry: ReplicaRegistry;
  readonly identifiers: IdentifierSequence;
  readonly metrics: RouterMetrics;
  readonly faults: RouterFaults;
}
