/** What is fixed for the whole life of one query. */
import type { ParsedQuery } from './query-parser.js';
import type { ServiceRuntime } from './service-runtime.js';

/** Pinned when the query was received. */
export interface QueryContext extends ParsedQuery {
  readonly service: ServiceRuntime;
  /** Whether no source could prove the service's settings the newest when the query came. */
  readonly settingsStale: boolean;
  /** The request id as back ends see it. */
  readonly backendRequestId: string;
  /** Stricter of the request's and the service's, 0 to 1. */
  readonly requiredCoverage: number;
  /** On the monotonic clock. Milliseconds. */
  readonly receivedAt: number;
  /** On the monotonic clock. Milliseconds. */
  readonly deadlineAt: number;
}
