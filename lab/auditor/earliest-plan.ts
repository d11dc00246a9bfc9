/** From when on the plan behind each answer may have been made. */
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';

function joinKey({ target, service, requestId }: CallerLedgerEntry): string {
  return `${target} ${service} ${requestId}`;
}

/**
 * Wall-clock milliseconds by entry. A resend of a request that is not repeatable
 * is told the outcome of the first sending at the same router, planned then.
 */
export function earliestPlans(
  callers: readonly CallerLedgerEntry[],
): ReadonlyMap<CallerLedgerEntry, number> {
  const firstSendings = new Map<string, number>();
  for (const entry of callers) {
    if (entry.repeatable) continue;
    const known = firstSendings.get(joinKey(entry)) ?? Infinity;
    firstSendings.set(joinKey(entry), Math.min(known, entry.sentAt));
  }
  return new Map(
    callers.map((entry) => [
      entry,
      entry.repeatable ? entry.sentAt : (firstSendings.get(joinKey(entry)) ?? entry.sentAt),
    ]),
  );
}
