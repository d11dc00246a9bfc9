/** What is known after controllers were killed while changes were made. */
import type { HistoryReport } from '../../src/administration/response-schemas.js';
import type { ViolationCounts } from '../auditor/violation.js';
import type { ProcessRecord } from '../fleet/process-record.js';

/** How one change ended for the operator who made it. */
export type WriteOutcome =
  | 'accepted'
  /** Said to have changed nothing. */
  | 'refused'
  /** The answer was lost for good. */
  | 'unknown';

/** One change, as its operator saw it. */
export interface WrittenChange {
  readonly changeId: string;
  readonly value: number;
  readonly outcome: WriteOutcome;
  /** Of an accepted change. */
  readonly revision?: number;
}

/** The configuration as one controller tells it after the last restart. */
export interface ControllerView {
  readonly memberId: string;
  readonly history: HistoryReport;
  /** The value the changes were about. */
  readonly value: number | undefined;
}

export interface RecoveryEvidence {
  readonly written: readonly WrittenChange[];
  readonly views: readonly ControllerView[];
  /** How many controllers there are. */
  readonly controllers: number;
  /** Times a controller was killed while changes were made. */
  readonly kills: number;
  readonly routers: number;
  /** Routers that report the last revision in force. */
  readonly inForce: number;
  /** Of the queries that were sent meanwhile. */
  readonly answered: number;
  readonly violations: ViolationCounts;
  readonly processes: ProcessRecord;
}
