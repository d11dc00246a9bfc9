/**
 * Removes members that do not come back. While this controller leads, it removes silent learners,
 * and a silent voter once a replacement is a voter, so the group never shrinks below its intended
 * size.
 */
import type { RaftNode } from '../consensus/raft-node.js';
import type { ReplicatedLogMember, ReplicatedLogStatus } from '../consensus/replicated-log.js';
import type { Logger } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';
import { isFoundingMemberId } from './member-identity.js';

const CHECK_INTERVAL_MS = 250;
/** A voter that has a replacement is removed after this long without contact. */
export const VOTER_SILENCE_TIMEOUT_MS = 1_500;
/** A learner is removed after this long without contact. */
export const LEARNER_SILENCE_TIMEOUT_MS = 10_000;

/** Returns the intended number of voters: as many as the group was founded with. */
export function intendedVoterCount({ members, retiredIds }: ReplicatedLogStatus): number {
  const ids = [...members.map(({ memberId }) => memberId), ...retiredIds];
  return ids.filter(isFoundingMemberId).length;
}

/** Whether the group has more voters than intended, so that one can be removed. */
export function hasSurplusVoter(status: ReplicatedLogStatus): boolean {
  return status.members.filter(({ voter }) => voter).length > intendedVoterCount(status);
}

/**
 * Finds members that have been silent for too long. The silence of a member that never made
 * contact counts from when this controller, as leader, first saw it in the group.
 */
export class SilenceTracker {
  private readonly firstSeenAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Returns the member to remove now; undefined when there is none or another controller leads. */
  memberToRemove(status: ReplicatedLogStatus): ReplicatedLogMember | undefined {
    if (status.role !== 'leader') {
      this.firstSeenAt.clear();
      return undefined;
    }
    const hasSurplus = hasSurplusVoter(status);
    const now = this.clock.now();
    return status.members.find((member) => {
      const { memberId, voter, silentMs = 0 } = member;
      const firstSeenAt = this.firstSeenAt.get(memberId) ?? now;
      this.firstSeenAt.set(memberId, firstSeenAt);
      if (memberId === status.memberId) return false;
      const observedSilenceMs = Math.min(silentMs, now - firstSeenAt);
      return voter
        ? hasSurplus && observedSilenceMs > VOTER_SILENCE_TIMEOUT_MS
        : observedSilenceMs > LEARNER_SILENCE_TIMEOUT_MS;
    });
  }
}

/** Checks the members at a fixed interval and removes silent ones until `stopped` aborts. */
export async function maintainMembership(
  clock: Clock,
  log: RaftNode,
  logger: Logger,
  stopped: AbortSignal,
): Promise<void> {
  const tracker = new SilenceTracker(clock);
  while (!stopped.aborted) {
    await clock.sleep(CHECK_INTERVAL_MS, stopped).catch(() => undefined);
    const member = tracker.memberToRemove(log.status());
    if (member !== undefined) await removeMember(log, member, logger);
  }
}

async function removeMember(
  log: RaftNode,
  { memberId }: ReplicatedLogMember,
  logger: Logger,
): Promise<void> {
  try {
    await log.remove(memberId);
    logger.info('silent member removed', { member: memberId });
  } catch (error) {
    logger.warn('silent member not removed', { member: memberId, reason: String(error) });
  }
}
