/** What a run leaves behind for measuring. */
import type { BackendEvidence } from '../auditor/audit-evidence.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';

/** One request as sent, and how it ended. */
export interface RequestRecord {
  /** Milliseconds since the start of the run. */
  readonly scheduledAt: number;
  /** Zone of the router it went to. */
  readonly zone: string;
  readonly team: string;
  readonly entry: CallerLedgerEntry;
}

/** All requests and everything that back ends did. */
export interface BenchRecord {
  readonly requests: readonly RequestRecord[];
  /** Times are milliseconds since the start of the run. */
  readonly backends: BackendEvidence;
  /** Of every event of the simulation. */
  readonly eventDigest: string;
}
