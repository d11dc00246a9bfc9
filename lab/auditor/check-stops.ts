/** Whether leaving back ends were left alone, and planned stops cut nothing off. */
import type { BackendEvent, BackendEventKind } from '../ledger/backend-event.js';
import type { BackendLedgerEntry } from '../ledger/backend-ledger-entry.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import type { AuditEvidence, AuditTerms, BackendEvidence } from './audit-evidence.js';
import type { Violation } from './violation.js';

function processKey({ replicaId, incarnation }: BackendEvent | BackendLedgerEntry): string {
  return `${replicaId} ${incarnation}`;
}

/** When each back-end process first noted an event of the kind. */
function timesOf(evidence: BackendEvidence, kind: BackendEventKind): ReadonlyMap<string, number> {
  const times = new Map<string, number>();
  for (const event of evidence.events) {
    const key = processKey(event);
    if (event.kind === kind && !times.has(key)) times.set(key, event.at);
  }
  return times;
}

function checkDrains(evidence: BackendEvidence, terms: AuditTerms): Violation[] {
  const drains = timesOf(evidence, 'draining');
  return evidence.entries.flatMap((entry) => {
    const drainedAt = drains.get(processKey(entry));
    if (drainedAt === undefined || entry.receivedAt <= drainedAt + terms.drainGrace) return [];
    const late = entry.receivedAt - drainedAt;
    const detail = `${entry.replicaId} got new work ${late} ms after it began to drain`;
    return [{ kind: 'workAfterDrain' as const, requestId: entry.requestId, detail }];
  });
}

function checkBackendStops(evidence: BackendEvidence): Violation[] {
  const stops = timesOf(evidence, 'stopped');
  const crashes = timesOf(evidence, 'crashed');
  return evidence.entries.flatMap((entry) => {
    const key = processKey(entry);
    const cutByStop = entry.outcome === 'open' && stops.has(key);
    const lostWithoutCrash = entry.outcome === 'lost' && !crashes.has(key);
    if (!cutByStop && !lostWithoutCrash) return [];
    const detail = `${entry.replicaId} stopped before it finished`;
    return [{ kind: 'cutInFlight' as const, requestId: entry.requestId, detail }];
  });
}

function isExcused(entry: CallerLedgerEntry, terms: AuditTerms): boolean {
  return terms.unplannedLosses.some(
    ({ target, from, until }) =>
      target === entry.target && entry.sentAt <= until && entry.endedAt >= from,
  );
}

function checkCallers(callers: readonly CallerLedgerEntry[], terms: AuditTerms): Violation[] {
  return callers.flatMap((entry): Violation[] => {
    if (isExcused(entry, terms)) return [];
    const { requestId, target } = entry;
    if (entry.outcome === 'connection_lost') {
      const detail = `${target} closed the connection before it answered`;
      return [{ kind: 'cutInFlight', requestId, detail }];
    }
    if (entry.outcome === 'timed_out') {
      const detail = `${target} gave no answer by the deadline and the grace period after it`;
      return [{ kind: 'unanswered', requestId, detail }];
    }
    return [];
  });
}

/** Finds `workAfterDrain`, `cutInFlight` and `unanswered`. */
export function checkStops({ backends, callers, terms }: AuditEvidence): Violation[] {
  return [
    ...checkDrains(backends, terms),
    ...checkBackendStops(backends),
    ...checkCallers(callers, terms),
  ];
}
