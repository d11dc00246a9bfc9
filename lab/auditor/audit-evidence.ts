/** What the auditor is given: both sides' ledgers and the terms of the run. */
import type { BackendEvent } from '../ledger/backend-event.js';
import type { BackendHolding } from '../ledger/backend-holding.js';
import type { BackendLedgerEntry } from '../ledger/backend-ledger-entry.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';

/** The back ends' side. `BackendLedger` is one. */
export interface BackendEvidence {
  readonly entries: readonly BackendLedgerEntry[];
  readonly events: readonly BackendEvent[];
  readonly holdings: readonly BackendHolding[];
}

/** A router that was killed, frozen or cut off on purpose. Wall-clock milliseconds. */
export interface UnplannedLoss {
  readonly target: string;
  readonly from: number;
  readonly until: number;
}

/** Bounds that the promises name. Milliseconds. */
export interface AuditTerms {
  /** From a back end's drain until no router may send it new work. */
  readonly drainGrace: number;
  /**
   * From an answer under a revision until no router may answer under an older
   * one; Infinity checks each router against itself alone.
   */
  readonly settingsLag: number;
  readonly unplannedLosses: readonly UnplannedLoss[];
}

export const DEFAULT_AUDIT_TERMS: AuditTerms = {
  drainGrace: 3_000,
  settingsLag: 5_000,
  unplannedLosses: [],
};

/** All of it, taken when no request is in flight any more. */
export interface AuditEvidence {
  readonly backends: BackendEvidence;
  readonly callers: readonly CallerLedgerEntry[];
  readonly terms: AuditTerms;
}
