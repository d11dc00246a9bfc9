/** What one seed's run gave. Plain data, so that worker threads can hand it over. */
import type { Violation, ViolationCounts } from '../auditor/violation.js';
import type { TimelineEntry } from './timeline.js';

/** See the module comment. */
export interface SeedResult {
  readonly seed: number;
  readonly requests: number;
  /** Changes accepted, as operators were told. */
  readonly changes: number;
  /** Numbers of the scheduled faults that struck. */
  readonly faults: readonly number[];
  readonly counts: ViolationCounts;
  readonly violations: readonly Violation[];
  /** What had not come back in time; empty when everything had. */
  readonly liveness: readonly string[];
  /** Over every event of the simulation and everything that callers and operators were told. */
  readonly digest: string;
  /** Virtual time of the run. Milliseconds. */
  readonly virtualTime: number;
  readonly timeline: readonly TimelineEntry[];
}

/** Whether anything is wrong. */
export function hasFailed({ violations, liveness }: SeedResult): boolean {
  return violations.length > 0 || liveness.length > 0;
}
