/** What became of a change, as asked for by its id. */
import type { AcceptedChange } from '../settings/accepted-change.js';
import type { ChangeOutcome } from '../settings/change-outcome.js';
import type { AdministrationContext } from './administration-context.js';
import { AdministrationError } from './administration-error.js';
import { describeForce } from './describe-force.js';
import type { ForceTracker } from './force-tracker.js';
import type { ChangeReport } from './response-schemas.js';

function reportAccepted(
  changeId: string,
  revision: number,
  change: AcceptedChange | undefined,
  tracker: ForceTracker | undefined,
): ChangeReport {
  const force = describeForce(tracker, revision);
  return {
    changeId,
    outcome: 'accepted',
    revision,
    ...(change === undefined ? {} : { change: { ...change, operations: [...change.operations] } }),
    ...(force === undefined ? {} : { force }),
  };
}

function reasonOf(outcome: ChangeOutcome): string | undefined {
  if (outcome.kind === 'rejected') return `${outcome.path}: ${outcome.reason}`;
  if (outcome.kind !== 'conflict') return undefined;
  return `made against revision ${outcome.baseRevision} when ${outcome.currentRevision} was current`;
}

/** @throws AdministrationError `not_found` when nothing of the id is kept. */
export async function reportChange(
  context: AdministrationContext,
  changeId: string,
): Promise<ChangeReport> {
  await context.catchUp();
  const { machine, dependencies } = context;
  const change = machine.acceptedChanges().find((accepted) => accepted.changeId === changeId);
  if (change !== undefined) {
    return reportAccepted(changeId, change.revision, change, dependencies.forces);
  }
  const outcome = machine.outcomeOf(changeId);
  if (outcome?.kind === 'accepted') {
    return reportAccepted(changeId, outcome.revision, undefined, dependencies.forces);
  }
  if (outcome?.kind === 'conflict' || outcome?.kind === 'rejected' || outcome?.kind === 'done') {
    const reason = reasonOf(outcome);
    return { changeId, outcome: outcome.kind, ...(reason === undefined ? {} : { reason }) };
  }
  const reason = `nothing of change ${changeId} is kept: it was never accepted, or long ago`;
  throw new AdministrationError('not_found', 'find change', reason);
}
