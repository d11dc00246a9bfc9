/**
 * The HTTP exchange between routers and back ends. A request carries its identifiers
 * in headers and the reply echoes them; the router drops a reply unless every echo matches.
 */

/** Path of a back end to which routers post queries. */
export const BACKEND_QUERY_PATH = '/query';
/** Path of a back end from which routers poll its {@link BackendReport}. */
export const BACKEND_REPORT_PATH = '/report';

/** Header names of requests and replies, lower case. */
export const BackendHeader = {
  /** The caller's request id, made unique across callers by the router. */
  RequestId: 'x-driftway-request-id',
  AttemptId: 'x-driftway-attempt-id',
  Service: 'x-driftway-service',
  ShardId: 'x-driftway-shard',
  /** `epoch.version`. */
  Snapshot: 'x-driftway-snapshot',
  /** Time left to the deadline when the attempt was sent. Milliseconds. */
  DeadlineMs: 'x-driftway-deadline-ms',
  /** `true` or `false`: whether the request may safely run more than once. */
  Repeatable: 'x-driftway-repeatable',
  /** Reply only: one of {@link BackendDisposition}. */
  Disposition: 'x-driftway-disposition',
  /** Reply only: the incarnation of the back-end process. */
  Incarnation: 'x-driftway-incarnation',
  /** Reply only: `true` once the back end is draining. */
  Draining: 'x-driftway-draining',
  /** Reply only: requests running in its slots and waiting in its queue, together. */
  Load: 'x-driftway-load',
} as const;

/** How the back end handled the request. */
export type BackendDisposition =
  /** The request ran to its end; the body is the result. */
  | 'answered'
  /**
   * The request did not start and never will: it was shed, the back end is draining, or
   * the deadline passed before the start.
   */
  | 'not_started'
  /** The request did not start: the back end does not hold the snapshot. */
  | 'snapshot_not_held'
  /** The request started and did not finish. */
  | 'failed';

/** Body of a back end's report on its own state. The report may be outdated or wrong. */
export interface BackendReport {
  readonly replicaId: string;
  /** Chosen when the process starts, larger than any earlier incarnation of the same replica. */
  readonly incarnation: number;
  readonly draining: boolean;
  /** Requests running in its slots and waiting in its queue, together. */
  readonly load: number;
  /** Snapshots that the back end can answer from, as `epoch.version`. */
  readonly snapshots: readonly string[];
}
