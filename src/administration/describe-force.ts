/** Sums up at how many daemons a revision is in force. */
import type { ForceTracker } from './force-tracker.js';
import type { Force } from './response-schemas.js';

/** Undefined when no one keeps track. */
export function describeForce(
  tracker: ForceTracker | undefined,
  revision: number,
): Force | undefined {
  if (tracker === undefined) return undefined;
  const { daemons } = tracker.inForce(revision);
  const late = daemons.filter((daemon) => daemon.revision < revision);
  return { revision, daemons: daemons.length, inForce: daemons.length - late.length, late };
}
