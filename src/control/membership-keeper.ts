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
const VOTER_SILENCE_MS = 1_500;
/** A member that never got its vote is removed after this silence. */
const LEARNER_SILENCE_MS = 10_000;

/** Voters that the group is meant to have: as many as it was founded with. */
export function intendedVoters({ members, retiredIds }: ReplicatedLogStatus): number {
  const ids = [...members.map(({ memberId }) => memberId), ...retiredIds];
  return ids.filter(isFoundingMemberId).length;
}

/** Whether the group has more voters than it is meant to have. */
export function hasSpareVoter(status: ReplicatedLogStatus): boolean {
  return status.members.filter(({ voter }) => voter).length > intendedVoters(status);
}

/** The member to remove now, given for how long this controller has led; undefined for none. */
export function memberToRemove(
  status: ReplicatedLogStatus,
  leadingMs: number,
): ReplicatedLogMember | undefined {
  const isSpare = hasSpareVoter(status);
  return status.members.find((member) => {
    if (member.memberId === status.memberId) return false;
    const silentMs = Math.min(member.silentMs ?? 0, leadingMs);
    if (!member.voter) return silentMs > LEARNER_SILENCE_MS;
    return isSpare && silentMs > VOTER_SILENCE_MS;
  });
}

/** Runs until stopped. */
export async function keepMembership(
  clock: Clock,
  log: RaftNode,
  logger: Logger,
  stopped: AbortSignal,
): Promise<void> {
  let leadingSince: number | undefined;
  while (!stopped.aborted) {
    await clock.sleep(CHECK_INTERVAL_MS, stopped).catch(() => undefined);
    const status = log.status();
    if (status.role !== 'leader') {
      leadingSince = undefined;
      continue;
    }
    leadingSince ??= clock.now();
    const member = memberToRemove(status, clock.now() - leadingSince);
    if (member !== undefined) await remove(log, member, logger);
  }
}

async function remove(log: RaftNode, member: ReplicatedLogMember, logger: Logger): Promise<void> {
  const { memberId, silentMs } = member;
  try {
    await log.remove(memberId);
    logger.info('member removed', { member: memberId, silentMs: Math.round(silentMs ?? 0) });
  } catch (error) {
    logger.warn('member not removed', { member: memberId, reason: String(error) });
  }
}
