/** Judges a demo run by what callers, back ends and processes left behind. */
import { DEFAULT_AUDIT_TERMS } from '../auditor/audit-evidence.js';
import { audit } from '../auditor/auditor.js';
import { countViolations, type ViolationCounts } from '../auditor/violation.js';
import { checkProcesses } from '../fleet/process-record.js';
import type { DemoEvidence } from './demo-evidence.js';

/** Least share of requests that must be answered. */
const LEAST_ANSWERED = 0.5;

/** Last line of a demo. */
export interface DemoSummary {
  readonly ok: boolean;
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  readonly violations: ViolationCounts;
}

export interface DemoVerdict {
  readonly summary: DemoSummary;
  /** Why it is not ok, in sentences; empty when it is. */
  readonly problems: readonly string[];
}

function checkAnswers({ planned, services, callers }: DemoEvidence): string[] {
  const problems: string[] = [];
  if (callers.length !== planned) {
    problems.push(`${callers.length} of ${planned} requests were sent and ended`);
  }
  const answered = callers.filter(({ outcome }) => outcome === 'answered');
  if (answered.length === 0 || answered.length < LEAST_ANSWERED * planned) {
    problems.push(`only ${answered.length} of ${planned} requests were answered`);
  }
  for (const service of services) {
    if (answered.some((entry) => entry.service === service)) continue;
    problems.push(`${service} answered nothing`);
  }
  return problems;
}

function checkStraggler({ backends, replicas }: DemoEvidence): string[] {
  const struck = backends.entries.some(
    ({ replicaId, faults }) => replicaId === replicas.straggling && faults.includes('slow'),
  );
  return struck ? [] : [`${replicas.straggling} never straggled`];
}

/** The drain must be old enough, and its service still asked, for late work to show. */
function checkDrain({ backends, replicas, callers }: DemoEvidence): string[] {
  const { draining } = replicas;
  const drain = backends.events.find(
    ({ replicaId, kind }) => replicaId === draining && kind === 'draining',
  );
  const holder = backends.holdings.find(({ replicaId }) => replicaId === draining);
  if (drain === undefined || holder === undefined) return [`${draining} never drained`];
  const late = drain.at + DEFAULT_AUDIT_TERMS.drainGrace;
  const askedLate = callers.some(
    ({ service, sentAt }) => service === holder.service && sentAt > late,
  );
  return askedLate ? [] : [`${holder.service} was not asked long enough after ${draining} drained`];
}

function checkChange({ change, routers, callers }: DemoEvidence): string[] {
  const revision = change?.revision;
  if (change === undefined || revision === undefined) return ['no settings change was accepted'];
  const problems: string[] = [];
  if (change.inForce < routers.length) {
    problems.push(`revision ${revision} was in force at ${change.inForce} routers`);
  }
  for (const router of routers) {
    const used = callers.some(
      ({ target, answer }) => target === router && (answer?.settingsRevision ?? 0) >= revision,
    );
    if (!used) problems.push(`${router} answered nothing under revision ${revision}`);
  }
  return problems;
}

function checkRepartition({ repartitioned, callers }: DemoEvidence): string[] {
  if (repartitioned === undefined) return ['no service was repartitioned'];
  const { service, layoutEpoch } = repartitioned;
  const used = callers.some(
    ({ answer }) => answer?.service === service && answer.snapshot.layoutEpoch === layoutEpoch,
  );
  return used ? [] : [`${service} answered nothing on layout ${layoutEpoch}`];
}

function checkPlannedStop({ inFlightAtStop }: DemoEvidence): string[] {
  return inFlightAtStop > 0 ? [] : ['no query was in flight when a router was told to stop'];
}

function violationProblems(evidence: DemoEvidence): {
  counts: ViolationCounts;
  problems: string[];
} {
  const { callers, backends } = evidence;
  const { counts, violations } = audit({ callers, backends, terms: DEFAULT_AUDIT_TERMS });
  const problems = violations.map(
    ({ kind, requestId, detail }) => `${kind}, request ${requestId}: ${detail}`,
  );
  return { counts, problems };
}

/** The verdict on a run that came to its end. */
export function judgeDemo(evidence: DemoEvidence): DemoVerdict {
  const { callers } = evidence;
  const audited = violationProblems(evidence);
  const problems = [
    ...audited.problems,
    ...checkAnswers(evidence),
    ...checkStraggler(evidence),
    ...checkDrain(evidence),
    ...checkChange(evidence),
    ...checkRepartition(evidence),
    ...checkPlannedStop(evidence),
    ...checkProcesses(evidence.processes),
  ];
  const countOf = (wanted: string): number =>
    callers.filter(({ outcome }) => outcome === wanted).length;
  return {
    problems,
    summary: {
      ok: problems.length === 0,
      requests: callers.length,
      answered: countOf('answered'),
      refused: countOf('refused_not_run'),
      violations: audited.counts,
    },
  };
}

/** The verdict on a run that could not be finished. */
export function failedDemo(reason: string): DemoVerdict {
  const violations = countViolations([]);
  const summary = { ok: false, requests: 0, answered: 0, refused: 0, violations };
  return { summary, problems: [reason] };
}
