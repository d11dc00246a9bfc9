/** The eight promises, and what else a run is checked for. */
import { VIOLATION_KINDS, type ViolationKind } from '../auditor/violation.js';

/** Requests without any end are counted with the liveness checks: no promise names them. */
type PromiseKind = Exclude<ViolationKind, 'unanswered'>;

export const PROMISE_KINDS = VIOLATION_KINDS.filter(
  (kind): kind is PromiseKind => kind !== 'unanswered',
);

/** Violations by promise. */
export type PromiseCounts = Readonly<Record<PromiseKind, number>>;

/** Counts of one or many runs, those without a violation included. */
export function sumPromiseCounts(
  all: readonly Readonly<Partial<Record<ViolationKind, number>>>[],
): PromiseCounts {
  const sums = PROMISE_KINDS.map((kind) => [
    kind,
    all.reduce((sum, counts) => sum + (counts[kind] ?? 0), 0),
  ]);
  return Object.fromEntries(sums) as PromiseCounts;
}
