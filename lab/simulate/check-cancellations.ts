/** Whether a router gave up a query whose caller still waited. */
import type { Violation } from '../auditor/violation.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';

/** What a router says of a query it cancelled; a caller that left is told nothing. */
const CANCELLED_MESSAGE = 'the query was cancelled';

/** Finds `cutInFlight`: an error that says the query was cancelled is no end of its own. */
export function checkCancellations(callers: readonly CallerLedgerEntry[]): Violation[] {
  return callers.flatMap(({ requestId, target, error }) => {
    if (error?.message !== CANCELLED_MESSAGE) return [];
    const detail = `${target} cancelled the query while its caller waited`;
    return [{ kind: 'cutInFlight' as const, requestId, detail }];
  });
}
