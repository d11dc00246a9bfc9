/** Collects what the stand-in callers of one process sent and got. */
import type { CallerLedgerEntry } from './caller-ledger-entry.js';

/** Ledger of any number of callers; an entry is added when its request has ended. */
export class CallerLedger {
  private readonly recorded: CallerLedgerEntry[] = [];

  get entries(): readonly CallerLedgerEntry[] {
    return this.recorded;
  }

  record(entry: CallerLedgerEntry): void {
    this.recorded.push(entry);
  }
}
