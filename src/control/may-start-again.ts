/** Which failures of a controller may pass without a change to its settings. */
import { DiskError } from '../errors/disk-error.js';

/**
 * A disk gets room or is mounted again. What a damaged data folder holds can only be decided by an
 * operator.
 */
export function mayStartAgain(failure: unknown): boolean {
  return failure instanceof DiskError;
}
