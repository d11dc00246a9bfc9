/** What is fixed for the whole life of one query. */
import type { QueryRequest } from '../model/query-request.js';
import type { ServiceRuntime } from './service-runtime.js';

/** Pinned when the query was received. */
export interface QueryContext {
  readonly request: QueryRequest;
  readonly service: ServiceRuntime;
  /** The request id as back ends see it. */
  readonly backendRequestId: string;
  /** JSON text of the query, as sent to back ends. */
  readonly body: string;
  /** Stricter of the request's and the service's, 0 to 1. */
  readonly requiredCoverage: number;
  /** On the monotonic clock. Milliseconds. */
  readonly receivedAt: number;
  /** On the monotonic clock. Milliseconds. */
  readonly deadlineAt: number;
}
