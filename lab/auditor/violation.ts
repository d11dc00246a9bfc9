/** Breaches of the promises, as the auditor counts them. */

/** One name a promise; see docs/operators/lab.md. */
export const VIOLATION_KINDS = [
  'mixedSnapshot',
  'falseCoverage',
  'foreignReply',
  'falseNotRun',
  'duplicateRun',
  'workAfterDrain',
  'cutInFlight',
  'settingsReverted',
  'unanswered',
] as const;
export type ViolationKind = (typeof VIOLATION_KINDS)[number];

/** One breach. */
export interface Violation {
  readonly kind: ViolationKind;
  /** The caller's request, or the attempt's where only a back end knows it. */
  readonly requestId: string;
  /** What the two ledgers say, in a sentence. */
  readonly detail: string;
}

export type ViolationCounts = Readonly<Record<ViolationKind, number>>;

/** Counts by kind, those without a breach included. */
export function countViolations(violations: readonly Violation[]): ViolationCounts {
  const counts = Object.fromEntries(VIOLATION_KINDS.map((kind) => [kind, 0])) as Record<
    ViolationKind,
    number
  >;
  for (const { kind } of violations) counts[kind] += 1;
  return counts;
}
