/** What one stand-in back end noted about one request it received. */

/** How the back end's part in a request ended. */
export type BackendOutcome =
  /** Still queued or running. */
  | 'open'
  /** Run in full and replied to. */
  | 'answered'
  /** Rejected before it began, with the not-started mark. */
  | 'not_started'
  /** Rejected before it began: the snapshot is not held. */
  | 'snapshot_not_held'
  /** Begun, not finished in time. */
  | 'failed'
  /** The sender closed the connection; begun or not, see `startedAt`. */
  | 'cancelled'
  /** The back end crashed meanwhile. */
  | 'lost';

/** One request at one back end. Times are wall-clock milliseconds. */
export interface BackendLedgerEntry {
  readonly replicaId: string;
  readonly incarnation: number;
  readonly service: string;
  readonly shardId: string;
  /** `epoch.version`, as asked for. */
  readonly snapshot: string;
  readonly requestId: string;
  readonly attemptId: string;
  /** Joins the entry with the caller's: see `digestQuery`. */
  readonly queryDigest: string;
  readonly repeatable: boolean;
  readonly receivedAt: number;
  /** When work began; absent when it never did. */
  readonly startedAt?: number;
  readonly endedAt?: number;
  readonly outcome: BackendOutcome;
  /** Digest of the result that was produced. */
  readonly resultDigest?: string;
  /** Faults that were applied to the exchange. */
  readonly faults: readonly string[];
}
