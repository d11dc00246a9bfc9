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

/** Ends of requests that a router answered or refused itself, the latest by query. */
function endsByQuery(callers: readonly CallerLedgerEntry[]): ReadonlyMap<string, number> {
  const ends = new Map<string, number>();
  for (const { service, queryDigest, endedAt, answer, error } of callers) {
    const key = `${service} ${queryDigest}`;
    const end = answer === undefined && error === undefined ? Infinity : endedAt;
    ends.set(key, Math.max(end, ends.get(key) ?? 0));
  }
  return ends;
}

/**
 * Work is new when it was sent after the grace. One whose request was over for
 * its caller by then was sent before, and held up by a cut of the network.
 */
function checkDrains({ backends, callers, terms }: AuditEvidence): Violation[] {
  const drains = timesOf(backends, 'draining');
  const ends = endsByQuery(callers);
  return backends.entries.flatMap((entry) => {
    const drainedAt = drains.get(processKey(entry));
    if (drainedAt === undefined) return [];
    const graceEnd = drainedAt + terms.drainGrace;
    const sentBefore = ends.get(`${entry.service} ${entry.queryDigest}`) ?? Infinity;
    if (Math.min(entry.receivedAt, sentBefore) <= graceEnd) return [];
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
export function checkStops(evidence: AuditEvidence): Violation[] {
  const { backends, callers, terms } = evidence;
  return [
    ...checkDrains(evidence),
    ...checkBackendStops(backends),
    ...checkCallers(callers, terms),
  ];
}
