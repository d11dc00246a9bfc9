/**
 * Turns one revision of the configuration into the next. Pure, and the same at
 * controllers and daemons, so that equal histories give equal configurations.
 */
import type { Operation, OperationOf } from './change.js';
import { ChangeRejectedError } from './change-rejected-error.js';
import type { ConfigurationState } from './configuration-state.js';
import { lookUp } from './look-up.js';
import {
  addReplica,
  createService,
  dropLayout,
  removeReplica,
  removeService,
  repartition,
} from './service-operations.js';
import { settingsOverrideSchema } from './service-settings.js';
import { validateConfiguration } from './validate-configuration.js';

function setKey(state: ConfigurationState, operation: OperationOf<'set'>): ConfigurationState {
  const { scope, key, value } = operation;
  const parsed = settingsOverrideSchema.safeParse({ [key]: value });
  if (!parsed.success) {
    throw new ChangeRejectedError('value', parsed.error.issues[0]?.message ?? 'not valid');
  }
  const override = { ...state.overrides[scope], ...parsed.data };
  return { ...state, overrides: { ...state.overrides, [scope]: override } };
}

function unsetKey(state: ConfigurationState, operation: OperationOf<'unset'>): ConfigurationState {
  const { scope, key } = operation;
  const override = { ...state.overrides[scope] };
  if (override[key] === undefined) {
    throw new ChangeRejectedError('key', `${key} is not set at ${scope}`);
  }
  delete override[key];
  const overrides = { ...state.overrides, [scope]: override };
  if (Object.keys(override).length === 0) delete overrides[scope];
  return { ...state, overrides };
}

function createRegion(
  state: ConfigurationState,
  { region, zones }: OperationOf<'createRegion'>,
): ConfigurationState {
  if (lookUp(state.regions, region) !== undefined) {
    throw new ChangeRejectedError('region', `${region} exists already`);
  }
  return { ...state, regions: { ...state.regions, [region]: { name: region, zones } } };
}

function addZone(
  state: ConfigurationState,
  { region, zone }: OperationOf<'addZone'>,
): ConfigurationState {
  const definition = lookUp(state.regions, region);
  if (definition === undefined) {
    throw new ChangeRejectedError('region', `there is no region ${region}`);
  }
  const zones = [...definition.zones, zone];
  return { ...state, regions: { ...state.regions, [region]: { ...definition, zones } } };
}

function applyOperation(state: ConfigurationState, operation: Operation): ConfigurationState {
  switch (operation.type) {
    case 'set':
      return setKey(state, operation);
    case 'unset':
      return unsetKey(state, operation);
    case 'createRegion':
      return createRegion(state, operation);
    case 'addZone':
      return addZone(state, operation);
    case 'createService':
      return createService(state, operation);
    case 'removeService':
      return removeService(state, operation);
    case 'repartition':
      return repartition(state, operation);
    case 'dropLayout':
      return dropLayout(state, operation);
    case 'addReplica':
      return addReplica(state, operation);
    case 'removeReplica':
      return removeReplica(state, operation);
  }
}

function applyAt(
  state: ConfigurationState,
  operation: Operation,
  index: number,
): ConfigurationState {
  try {
    return applyOperation(state, operation);
  } catch (error) {
    if (!(error instanceof ChangeRejectedError)) throw error;
    throw new ChangeRejectedError(`operations.${index}.${error.path}`, error.reason);
  }
}

/**
 * All operations in order, without validating the result: for changes that were
 * accepted before.
 *
 * @throws ChangeRejectedError when an operation does not fit.
 */
export function replayOperations(
  state: ConfigurationState,
  operations: readonly Operation[],
): ConfigurationState {
  let next = state;
  for (const [index, operation] of operations.entries()) {
    next = applyAt(next, operation, index);
  }
  return { ...next, revision: state.revision + 1 };
}

/**
 * The next revision: all operations in order, then the whole tree validated.
 *
 * @throws ChangeRejectedError when an operation does not fit or the result
 *   would leave any service invalid; `state` is untouched.
 */
export function applyOperations(
  state: ConfigurationState,
  operations: readonly Operation[],
): ConfigurationState {
  const next = replayOperations(state, operations);
  validateConfiguration(next);
  return next;
}
