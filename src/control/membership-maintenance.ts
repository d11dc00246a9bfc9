/**
 * Removes members that are not coming back: as long as this controller leads, a
 * silent one goes once a successor has its vote. The group never becomes smaller
 * than it was meant to be.
 */
import type { RaftNode } from '../consensus/raft-node.js';
import type { ReplicatedLogMember, ReplicatedLogStatus } from '../consensus/replicated-log.js';
import type { Logger } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';
import { isFoundingMemberId } from './member-identity.js';

const CHECK_INTERVAL_MS = 250;
/** A voter that has a successor is removed after this silence. */
export const VOTER_SILENCE_TIMEOUT_MS = 1_500;
/** A member that never got its vote is removed after this silence. */
export const LEARNER_SILENCE_TIMEOUT_MS = 10_000;

/** Voters that the group is meant to have: as many as it was founded with. */
export function intendedVoterCount({ members, retiredIds }: ReplicatedLogStatus): number {
  const ids = [...members.map(({ memberId }) => memberId), ...retiredIds];
  return ids.filter(isFoundingMemberId).length;
}

/** Whether the group has more voters than it is meant to have. */
export function hasSurplusVoter(status: ReplicatedLogStatus): boolean {
  return status.members.filter(({ voter }) => voter).length > intendedVoterCount(status);
}

/**
 * Tells for how long members have been silent. A member that was never heard is
 * silent from when this controller, as the leader, first saw it in the group.
 */
export class SilenceTracker {
  private readonly firstSeenAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** The member to remove now; undefined for none, and while another controller leads. */
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

/** Runs until stopped. */
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
