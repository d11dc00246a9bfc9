/** Turns what became of a command into a response or a typed error. */
import type { ChangeRequest } from '../settings/change.js';
import type { ChangeOutcome } from '../settings/change-outcome.js';
import { placesOf } from '../settings/configuration-difference.js';
import type { ConfigurationStateMachine } from '../settings/configuration-state-machine.js';
import { placeOf } from '../settings/operation-place.js';
import { AdministrationError, type ConflictDetails } from './administration-error.js';

const STEP = 'apply change';
/** Most changes listed in a conflict; the newest. */
const MAXIMUM_CONFLICT_CHANGES = 100;

/** What is there now at the places `request` would have written. */
export function describeConflict(
  machine: ConfigurationStateMachine,
  request: ChangeRequest,
): ConflictDetails {
  const { baseRevision, operations } = request;
  const configuration = machine.current();
  const places = placesOf(configuration);
  const touched = new Set(operations.map(placeOf));
  const changes = machine.acceptedSince(baseRevision);
  return {
    baseRevision,
    currentRevision: configuration.revision,
    current: [...touched].map((path) => ({ path, value: places.get(path) ?? null })),
    changesSinceBase:
      changes?.slice(-MAXIMUM_CONFLICT_CHANGES).map(({ revision, changeId, author, reason }) => ({
        revision,
        changeId,
        author,
        reason,
      })) ?? null,
  };
}

/** The error of a change made against another revision than the current one. */
export function conflictError(
  machine: ConfigurationStateMachine,
  request: ChangeRequest,
): AdministrationError {
  const conflict = describeConflict(machine, request);
  const reason =
    `the change was made against revision ${conflict.baseRevision}, but the configuration is at ` +
    `revision ${conflict.currentRevision}; look at what is there now and send a new change`;
  return new AdministrationError('conflict', STEP, reason, { conflict });
}

/** The error of an outcome that is neither a success nor a conflict. */
export function refusalError(outcome: ChangeOutcome): AdministrationError {
  switch (outcome.kind) {
    case 'rejected':
    case 'forbidden': {
      const { kind, path, reason } = outcome;
      const problems = [{ path, reason }];
      return new AdministrationError(kind, STEP, `${path}: ${reason}`, { problems });
    }
    case 'changeIdReused': {
      const reason = 'this change id was used before for something else; use a new one';
      return new AdministrationError('change_id_reused', STEP, reason);
    }
    default:
      return new AdministrationError('internal', STEP, `unexpected outcome ${outcome.kind}`, {
        changed: 'unknown',
      });
  }
}
