/** Judges whether every accepted change outlived the kills, and nothing else came in. */
import { checkProcesses } from '../fleet/process-record.js';
import type { ControllerView, RecoveryEvidence, WrittenChange } from './recovery-evidence.js';

function checkChange({ memberId, history }: ControllerView, written: WrittenChange): string[] {
  const { changeId, outcome, revision } = written;
  const kept = history.changes.filter((change) => change.changeId === changeId);
  if (kept.length > 1) return [`${memberId} has change ${changeId} ${kept.length} times`];
  const [change] = kept;
  if (outcome === 'refused' && change !== undefined) {
    return [`${memberId} has change ${changeId}, which was refused`];
  }
  if (outcome !== 'accepted') return [];
  if (change === undefined) return [`${memberId} lost the accepted change ${changeId}`];
  if (change.revision === revision) return [];
  return [`${memberId} has change ${changeId} at ${change.revision}, accepted at ${revision}`];
}

/** Revisions must follow one another, newest first, down to the first. */
function checkRevisions({ memberId, history }: ControllerView): string[] {
  const { changes, revision } = history;
  const wrong = changes.find((change, index) => change.revision !== revision - index);
  if (wrong !== undefined) return [`${memberId} has a gap at revision ${wrong.revision}`];
  return changes.length === revision ? [] : [`${memberId} tells ${changes.length} of ${revision}`];
}

function checkValue({ memberId, history, value }: ControllerView, all: readonly WrittenChange[]) {
  const newest = history.changes.find(({ changeId }) =>
    all.some((written) => written.changeId === changeId),
  );
  const wanted = all.find(({ changeId }) => changeId === newest?.changeId)?.value;
  return value === wanted ? [] : [`${memberId} says ${value}, the newest change said ${wanted}`];
}

function checkView(view: ControllerView, written: readonly WrittenChange[]): string[] {
  return [
    ...checkRevisions(view),
    ...checkValue(view, written),
    ...written.flatMap((change) => checkChange(view, change)),
  ];
}

function checkAgreement(views: readonly ControllerView[]): string[] {
  const contents = views.map(({ history }) => JSON.stringify(history));
  return new Set(contents).size <= 1 ? [] : ['the controllers tell different histories'];
}

/** Whether the run was one in which anything could have been lost. */
function checkEffort({ written, kills, answered, views, controllers }: RecoveryEvidence): string[] {
  const problems: string[] = [];
  if (!written.some(({ outcome }) => outcome === 'accepted')) problems.push('nothing was accepted');
  if (kills === 0) problems.push('no controller was killed');
  if (answered === 0) problems.push('no query was answered');
  if (views.length < controllers) {
    problems.push(`${views.length} of ${controllers} controllers told what they have`);
  }
  return problems;
}

/** Everything that is wrong, in sentences; empty when nothing is. */
export function judgeRecovery(evidence: RecoveryEvidence): string[] {
  const { views, written, routers, inForce, violations, processes } = evidence;
  const breaches = Object.entries(violations).filter(([, count]) => count > 0);
  return [
    ...checkEffort(evidence),
    ...views.flatMap((view) => checkView(view, written)),
    ...checkAgreement(views),
    ...(inForce < routers ? [`the last revision is in force at ${inForce} of ${routers}`] : []),
    ...breaches.map(([kind, count]) => `${count} of ${kind}`),
    ...checkProcesses(processes),
  ];
}
