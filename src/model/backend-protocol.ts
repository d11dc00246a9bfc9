/**
 * The HTTP exchange between routers and back ends. A request names itself in
 * headers; the reply echoes them, and is dropped unless every echo matches.
 */

/** Path a router posts queries to. */
export const BACKEND_QUERY_PATH = '/query';
/** Path of the report a router reads: see {@link BackendReport}. */
export const BACKEND_REPORT_PATH = '/report';

/** Header names, lower case. */
export const BackendHeader = {
  /** The caller's request id, made unique across callers by the router. */
  RequestId: 'x-driftway-request-id',
  AttemptId: 'x-driftway-attempt-id',
  Service: 'x-driftway-service',
  ShardId: 'x-driftway-shard',
  /** `epoch.version`. */
  Snapshot: 'x-driftway-snapshot',
  /** Time left when the request was sent. Milliseconds. */
  DeadlineMs: 'x-driftway-deadline-ms',
  /** `true` or `false`. */
  Repeatable: 'x-driftway-repeatable',
  /** Reply only: one of {@link BackendDisposition}. */
  Disposition: 'x-driftway-disposition',
  /** Reply only: the incarnation of the back-end process. */
  Incarnation: 'x-driftway-incarnation',
  /** Reply only: `true` once the back end is leaving. */
  Draining: 'x-driftway-draining',
  /** Reply only: requests in its slots and its queue together. */
  Load: 'x-driftway-load',
} as const;

/** What the back end did with the request. */
export type BackendDisposition =
  /** Run in full; the body is the result. */
  | 'answered'
  /** Not begun and never will be: shed, draining, or expired before it began. */
  | 'not_started'
  /** Not begun: the back end does not hold the snapshot. */
  | 'snapshot_not_held'
  /** Begun, not finished. */
  | 'failed';

/** Body of the report a back end gives of itself. It may lag or be wrong. */
export interface BackendReport {
  readonly replicaId: string;
  /** Chosen at start, larger than any earlier one of the same replica. */
  readonly incarnation: number;
  readonly draining: boolean;
  /** Requests in its slots and its queue together. */
  readonly load: number;
  /** Snapshots it can answer from, as `epoch.version`. */
  readonly snapshots: readonly string[];
}
