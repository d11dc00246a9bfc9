/** Whether the settings revisions seen in answers ever went back. */
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import type { AuditTerms } from './audit-evidence.js';
import { earliestPlans } from './earliest-plan.js';
import type { Violation } from './violation.js';

/** An answer or error that names a revision. */
interface Observation {
  readonly entry: CallerLedgerEntry;
  readonly revision: number;
  /** Before this time its plan was not made. Wall-clock milliseconds. */
  readonly plannedAfter: number;
}

function observe(callers: readonly CallerLedgerEntry[]): Observation[] {
  const plans = earliestPlans(callers);
  return callers.flatMap((entry) => {
    const revision = (entry.answer ?? entry.error)?.settingsRevision;
    if (revision === undefined) return [];
    return [{ entry, revision, plannedAfter: plans.get(entry) ?? entry.sentAt }];
  });
}

/**
 * Requests sent more than `lag` after the end of another that saw a higher
 * revision. Only such pairs are ordered for certain: the plan of a request is
 * made between its sending, or the first sending it is joined to, and its end.
 */
function findReversions(observations: readonly Observation[], lag: number): Violation[] {
  const byPlan = observations.toSorted((one, other) => one.plannedAfter - other.plannedAfter);
  const byEnd = observations.toSorted((one, other) => one.entry.endedAt - other.entry.endedAt);
  const violations: Violation[] = [];
  let highest = 0;
  let ended = 0;
  for (const { entry, revision, plannedAfter } of byPlan) {
    for (let next = byEnd[ended]; next !== undefined; next = byEnd[ended]) {
      if (next.entry.endedAt + lag >= plannedAfter) break;
      highest = Math.max(highest, next.revision);
      ended += 1;
    }
    if (revision >= highest) continue;
    const detail = `${entry.target} used revision ${revision} after ${highest} had been seen`;
    violations.push({ kind: 'settingsReverted', requestId: entry.requestId, detail });
  }
  return violations;
}

/** Finds `settingsReverted`: at one router at once, across routers after the allowed lag. */
export function checkSettings(
  callers: readonly CallerLedgerEntry[],
  terms: AuditTerms,
): Violation[] {
  const observations = observe(callers);
  const targets = new Set(callers.map(({ target }) => target));
  const withinRouters = [...targets].flatMap((target) =>
    findReversions(
      observations.filter(({ entry }) => entry.target === target),
      0,
    ),
  );
  const known = new Set(withinRouters.map(({ requestId }) => requestId));
  const acrossRouters = findReversions(observations, terms.settingsLag);
  return [...withinRouters, ...acrossRouters.filter(({ requestId }) => !known.has(requestId))];
}
