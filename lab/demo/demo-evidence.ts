/** Everything a demo run is judged by. */
import type { BackendEvidence } from '../auditor/audit-evidence.js';
import type { ProcessRecord } from '../fleet/process-record.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import type { Repartition } from './repartition.js';

/** What became of the settings change that was made during the run. */
export interface DemoChange {
  /** Undefined when it was not accepted. */
  readonly revision?: number;
  /** Routers that had it in force when the operator was told so. */
  readonly inForce: number;
}

/** Replicas that were meant to misbehave. */
export interface DemoReplicas {
  readonly straggling: string;
  readonly draining: string;
}

export interface DemoEvidence {
  /** Requests that the callers were to send. */
  readonly planned: number;
  /** Services that were asked. */
  readonly services: readonly string[];
  /** Names of the routers. */
  readonly routers: readonly string[];
  readonly callers: readonly CallerLedgerEntry[];
  readonly backends: BackendEvidence;
  readonly replicas: DemoReplicas;
  /** Undefined when the run never came to it. */
  readonly change: DemoChange | undefined;
  /** Undefined when the run never came to it. */
  readonly repartitioned: Repartition | undefined;
  /** Least number of queries in flight at a router when it was told to stop. */
  readonly inFlightAtStop: number;
  readonly processes: ProcessRecord;
}
