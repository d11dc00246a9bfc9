/**
 * Compares what back ends and callers noted, and reports every breach of a
 * promise that shows in them. Knows nothing of what lies between.
 */
import type { AuditEvidence } from './audit-evidence.js';
import { BackendIndex } from './backend-index.js';
import { checkCoverage } from './check-coverage.js';
import { checkResults } from './check-results.js';
import { checkRuns } from './check-runs.js';
import { checkSettings } from './check-settings.js';
import { checkStops } from './check-stops.js';
import { countViolations, type Violation, type ViolationCounts } from './violation.js';

/** Outcome of an audit. */
export interface AuditReport {
  readonly counts: ViolationCounts;
  readonly violations: readonly Violation[];
}

/** Audits a run that has come to rest. */
export function audit(evidence: AuditEvidence): AuditReport {
  const { backends, callers, terms } = evidence;
  const index = new BackendIndex(backends);
  const violations = [
    ...checkResults(index, callers),
    ...checkCoverage(index, callers),
    ...checkRuns(index, callers),
    ...checkStops(evidence),
    ...checkSettings(callers, terms),
  ];
  return { counts: countViolations(violations), violations };
}
