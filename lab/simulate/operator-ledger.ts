/** What the operators of a simulated fleet were told. */

/** How one sending of a change ended. */
export type OperatorOutcome =
  | { readonly kind: 'accepted'; readonly revision: number }
  /** The controllers said that this sending changed nothing. */
  | { readonly kind: 'refused'; readonly code: string }
  | { readonly kind: 'unknown' };

/** One sending. */
export interface OperatorLedgerEntry {
  readonly changeId: string;
  /** Wall-clock milliseconds. */
  readonly endedAt: number;
  readonly outcome: OperatorOutcome;
}

/** A change with the revision that its operator was told. */
export interface AcknowledgedChange {
  readonly changeId: string;
  readonly revision: number;
  /** Of the first acknowledgement. Wall-clock milliseconds. */
  readonly acknowledgedAt: number;
}

/** In order of the ends. */
export class OperatorLedger {
  private readonly recorded: OperatorLedgerEntry[] = [];

  get entries(): readonly OperatorLedgerEntry[] {
    return this.recorded;
  }

  record(entry: OperatorLedgerEntry): void {
    this.recorded.push(entry);
  }

  /** The first acknowledgement of each change. */
  acknowledged(): readonly AcknowledgedChange[] {
    const changes = new Map<string, AcknowledgedChange>();
    for (const { changeId, endedAt, outcome } of this.recorded) {
      if (outcome.kind !== 'accepted' || changes.has(changeId)) continue;
      changes.set(changeId, { changeId, revision: outcome.revision, acknowledgedAt: endedAt });
    }
    return [...changes.values()];
  }
}
