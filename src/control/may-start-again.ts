/** Which failures of a controller may pass without a change to its settings. */
import type { ControllerConfiguration } from '../configuration/controller-configuration.js';
import { IncarnationMismatchError, MemberRetiredError } from '../consensus/consensus-errors.js';
import { DiskError } from '../errors/disk-error.js';

/** Whether the group removed this member, which its data folder is discarded for. */
export function isRemoval(failure: unknown): boolean {
  return failure instanceof MemberRetiredError || failure instanceof IncarnationMismatchError;
}

/**
 * A disk gets room or is mounted again, and a member that was removed joins as a new one. What a
 * damaged data folder holds can only be decided by an operator.
 */
export function mayStartAgain(
  failure: unknown,
  { automaticMembership }: ControllerConfiguration,
): boolean {
  if (failure instanceof DiskError) return true;
  return automaticMembership !== undefined && isRemoval(failure);
}
