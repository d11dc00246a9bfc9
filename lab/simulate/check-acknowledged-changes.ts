/**
 * Whether what operators were told holds: an acknowledged change keeps its
 * revision, is in force at every router that answers within the stated time,
 * and is still there at the end.
 */
import { earliestPlans } from '../auditor/earliest-plan.js';
import type { Violation } from '../auditor/violation.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import type { RevisionInForce } from './fleet.js';
import type { AcknowledgedChange, OperatorLedger } from './operator-ledger.js';

/** From an operator's answer until no router may plan a query under an older revision. Milliseconds. */
export const FORCE_BOUND = 10_000;

/** A change as the controllers tell it once everything has come to rest. */
export interface FinalChange {
  readonly changeId: string;
  readonly revision: number;
}

function reverted(requestId: string, detail: string): Violation {
  return { kind: 'settingsReverted', requestId, detail };
}

/** Two acknowledgements of one change name one revision, and no two changes share one. */
export function checkAcknowledgements(ledger: OperatorLedger): Violation[] {
  const violations: Violation[] = [];
  const revisions = new Map<string, number>();
  const owners = new Map<number, string>();
  for (const { changeId, outcome } of ledger.entries) {
    if (outcome.kind !== 'accepted') continue;
    const { revision } = outcome;
    const known = revisions.get(changeId) ?? revision;
    if (known !== revision) {
      violations.push(reverted(changeId, `accepted as revision ${known}, then as ${revision}`));
    }
    const owner = owners.get(revision) ?? changeId;
    if (owner !== changeId) {
      violations.push(reverted(changeId, `revision ${revision} was given to ${owner} too`));
    }
    revisions.set(changeId, known);
    owners.set(revision, owner);
  }
  return violations;
}

/** Requests planned more than {@link FORCE_BOUND} after an acknowledgement see at least its revision. */
export function checkForce(
  changes: readonly AcknowledgedChange[],
  callers: readonly CallerLedgerEntry[],
): Violation[] {
  const byTime = changes.toSorted((left, right) => left.acknowledgedAt - right.acknowledgedAt);
  const plans = [...earliestPlans(callers)].sort(([, left], [, right]) => left - right);
  const violations: Violation[] = [];
  let due = 0;
  let next = 0;
  for (const [entry, plannedAfter] of plans) {
    for (let change = byTime[next]; change !== undefined; change = byTime[next]) {
      if (change.acknowledgedAt + FORCE_BOUND >= plannedAfter) break;
      due = Math.max(due, change.revision);
      next += 1;
    }
    const revision = (entry.answer ?? entry.error)?.settingsRevision;
    if (revision === undefined || revision >= due) continue;
    const detail = `${entry.target} used revision ${revision}, ${due} was accepted long before`;
    violations.push(reverted(entry.requestId, detail));
  }
  return violations;
}

/** Every acknowledged change is still in the controllers' history, as the revision it was. */
export function checkHistory(
  changes: readonly AcknowledgedChange[],
  history: readonly FinalChange[],
): Violation[] {
  const revisions = new Map(history.map(({ changeId, revision }) => [changeId, revision]));
  return changes.flatMap(({ changeId, revision }) => {
    const final = revisions.get(changeId);
    if (final === revision) return [];
    const now = final === undefined ? 'not in the history' : `revision ${final}`;
    return [reverted(changeId, `accepted as revision ${revision}, at the end ${now}`)];
  });
}

/** Within one life of a router, each revision put in force is higher than the one before. */
export function checkRouterRevisions(revisions: readonly RevisionInForce[]): Violation[] {
  const highest = new Map<string, number>();
  return revisions.flatMap(({ router, life, revision }) => {
    const key = `${router}/${life}`;
    const before = highest.get(key) ?? -1;
    highest.set(key, Math.max(before, revision));
    if (revision > before) return [];
    return [reverted(router, `${router} put revision ${revision} in force after ${before}`)];
  });
}
