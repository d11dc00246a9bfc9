/**
 * Decides who votes. While this controller leads, it removes silent learners, removes a silent voter once
 * another member can take its place, so the group never shrinks below its intended size, and gives votes to
 * learners where that helps the group to bear a loss.
 */
import type { RaftNode } from '../consensus/raft-node.js';
import type { ReplicatedLogMember, ReplicatedLogStatus } from '../consensus/replicated-log.js';
import { DEFAULT_RAFT_LIMITS } from '../consensus/raft-timings.js';
import type { Logger } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';
import { isFoundingMemberId } from './member-identity.js';

const CHECK_INTERVAL_MS = 250;
/** A learner that was heard within this time answers. */
const READY_SILENCE_MS = 500;
/** A voter that has a replacement is removed after this long without contact. */
export const VOTER_SILENCE_TIMEOUT_MS = 1_500;
/** A learner is removed after this long without contact. */
export const LEARNER_SILENCE_TIMEOUT_MS = 10_000;

/** Returns the intended number of voters: as many as the group was founded with. */
export function intendedVoterCount({ members, retiredIds }: ReplicatedLogStatus): number {
  const ids = [...members.map(({ memberId }) => memberId), ...retiredIds];
  return ids.filter(isFoundingMemberId).length;
}

function votersOf({ members }: ReplicatedLogStatus): readonly ReplicatedLogMember[] {
  return members.filter(({ voter }) => voter);
}

/** Whether the group has more voters than intended, so that one can be removed. */
export function hasSurplusVoter(status: ReplicatedLogStatus): boolean {
  return votersOf(status).length > intendedVoterCount(status);
}

/** Returns the learners that have caught up and answer; none where another controller leads. */
function readyLearners({ members, lastIndex }: ReplicatedLogStatus): ReplicatedLogMember[] {
  return members.filter(({ voter, silentMs = Infinity, matchIndex = 0 }) => {
    const hasCaughtUp = lastIndex - matchIndex <= DEFAULT_RAFT_LIMITS.promotionLag;
    return !voter && hasCaughtUp && silentMs < READY_SILENCE_MS;
  });
}

/**
 * Returns the learner to give a vote now. An odd number of voters of the intended size bears no more losses
 * with one more, but needs one more vote: a learner stays without one until it can take the place of a voter,
 * or another learner makes the number odd again.
 */
export function learnerToPromote(status: ReplicatedLogStatus): ReplicatedLogMember | undefined {
  if (status.role !== 'leader') return undefined;
  const voterCount = votersOf(status).length;
  const ready = readyLearners(status);
  const raisesVotesNeeded = voterCount % 2 === 1;
  const isWanted = voterCount < intendedVoterCount(status) || !raisesVotesNeeded;
  return isWanted || ready.length > 1 ? ready[0] : undefined;
}

/** Whether another member could vote in the place of a voter that is removed. */
function hasReplacement(status: ReplicatedLogStatus): boolean {
  const candidates = votersOf(status).length + readyLearners(status).length;
  return candidates > intendedVoterCount(status);
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
    const isReplaceable = hasReplacement(status);
    const now = this.clock.now();
    return status.members.find((member) => {
      const { memberId, voter, silentMs = 0 } = member;
      const firstSeenAt = this.firstSeenAt.get(memberId) ?? now;
      this.firstSeenAt.set(memberId, firstSeenAt);
      if (memberId === status.memberId) return false;
      const observedSilenceMs = Math.min(silentMs, now - firstSeenAt);
      return voter
        ? isReplaceable && observedSilenceMs > VOTER_SILENCE_TIMEOUT_MS
        : observedSilenceMs > LEARNER_SILENCE_TIMEOUT_MS;
    });
  }
}

/** Checks the members at a fixed interval, removes silent ones and promotes learners, until `stopped` aborts. */
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
    const learner = learnerToPromote(log.status());
    if (learner !== undefined) await promoteLearner(log, learner, logger);
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

async function promoteLearner(
  log: RaftNode,
  { memberId }: ReplicatedLogMember,
  logger: Logger,
): Promise<void> {
  try {
    await log.promote(memberId);
    logger.info('learner promoted', { member: memberId });
  } catch (error) {
    logger.warn('learner not promoted', { member: memberId, reason: String(error) });
  }
}

/**
 * Gives up this member's vote for good before a planned stop, if another member has or can take its place.
 *
 * @throws DriftwayError when the members could not be changed.
 */
export async function leaveIfReplaced(log: RaftNode): Promise<void> {
  const status = log.status();
  const { memberId, members } = status;
  if (!hasSurplusVoter(status)) {
    const voters = votersOf(status);
    const isVoter = voters.some((voter) => voter.memberId === memberId);
    const learner = members.find(({ voter }) => !voter);
    const isComplete = voters.length === intendedVoterCount(status);
    if (!isVoter || !isComplete || learner === undefined) return;
    await log.promote(learner.memberId);
  }
  await log.remove(memberId);
}
