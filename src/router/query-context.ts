/** The state of one query that stays fixed from its receipt to its end. */
import type { ParsedQuery } from './query-parser.js';
import type { ServiceRuntime } from './service-runtime.js';

/** A parsed query with the service, coverage and deadline that apply to it. */
export interface QueryContext extends ParsedQuery {
  readonly service: ServiceRuntime;
  /** Whether, at receipt, no configuration source could confirm that the settings are the latest. */
  readonly settingsStale: boolean;
  /** The request id that is sent to back ends, unique across callers. */
  readonly backendRequestId: string;
  /** The larger of the request's and the service's required coverage, 0 to 1. */
  readonly requiredCoverage: number;
  /** Time of receipt on the monotonic clock. Milliseconds. */
  readonly receivedAt: number;
  /** End of the execution on the monotonic clock, with the answer's reserve subtracted. Milliseconds. */
  readonly deadlineAt: number;
}
