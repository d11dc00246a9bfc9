/** Whether a fleet that is left alone comes back to full service within the stated bounds. */
import type { StatusReport } from '../../src/administration/response-schemas.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';

/** From the end of the last fault until everything works again, planned restarts included. Milliseconds. */
export const LIVENESS_BOUND = 25_000;

/** What a daemon says of itself once the bound has passed. */
export interface RestedFleet {
  /** By controller; undefined for one that did not answer. */
  readonly statuses: ReadonlyMap<string, StatusReport | undefined>;
  /** Revision in force by router. */
  readonly revisions: ReadonlyMap<string, number | undefined>;
  readonly lastAcknowledged: number;
}

/** Every controller follows one leader, and all daemons are at the last revision. */
export function checkRest({ statuses, revisions, lastAcknowledged }: RestedFleet): string[] {
  const failures: string[] = [];
  const leaders = new Set<string | null>();
  const newest = Math.max(
    lastAcknowledged,
    ...[...statuses.values()].map((status) => status?.revision ?? 0),
  );
  for (const [name, status] of statuses) {
    if (status === undefined) {
      failures.push(`${name} does not answer`);
      continue;
    }
    leaders.add(status.leaderId);
    if (status.revision !== newest) {
      failures.push(`${name} is at revision ${status.revision} of ${newest}`);
    }
  }
  if (leaders.size !== 1 || leaders.has(null)) {
    failures.push(`no leader that all follow: ${[...leaders].join(', ')}`);
  }
  for (const [name, revision] of revisions) {
    if (revision !== newest) failures.push(`${name} is at revision ${revision ?? 0} of ${newest}`);
  }
  return failures;
}

/** Every query sent from `since` on is answered with full coverage. Wall-clock milliseconds. */
export function checkFullCoverage(callers: readonly CallerLedgerEntry[], since: number): string[] {
  return callers.flatMap((entry) => {
    if (entry.sentAt < since || entry.answer?.coverage.fraction === 1) return [];
    const { requestId, target, service, outcome, answer, error } = entry;
    const coverage = answer?.coverage ?? error?.coverage;
    const reasons = coverage?.missing.map(({ shardId, reason }) => `${shardId} ${reason}`) ?? [];
    const told = [outcome, error?.message, ...reasons].filter((part) => part !== undefined);
    return [`${requestId} to ${service} at ${target} not in full: ${told.join(', ')}`];
  });
}
