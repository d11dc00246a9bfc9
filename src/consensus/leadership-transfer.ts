/** Hands leadership over before a planned stop. */
import type { FollowerProgress } from './follower-progress.js';
import type { Leadership } from './leadership.js';
import type { MemberState } from './member-state.js';
import type { RequestOf, ResponseOf } from './messages.js';
import type { PeerLinks } from './peer-links.js';

/** The voter that lacks least among those that answer. */
function chooseSuccessor(state: MemberState, leadership: Leadership): FollowerProgress | undefined {
  const { clock, timings, memberId } = state.dependencies;
  const live = state.membership.voters
    .filter((voter) => voter.memberId !== memberId)
    .map((voter) => leadership.progressOf(voter.memberId))
    .filter((progress): progress is FollowerProgress => progress !== undefined)
    .filter(({ confirmedAt }) => clock.now() - confirmedAt < timings.electionTimeoutMinimum);
  live.sort((left, right) => right.matchIndex - left.matchIndex);
  return live[0];
}

/**
 * Stops taking proposals, waits until a successor holds everything, asks it to
 * stand, and waits until this member leads no more; gives up after the transfer
 * timeout, when the others elect a leader by themselves.
 */
export async function transferLeadership(
  state: MemberState,
  links: PeerLinks,
  leadership: Leadership,
): Promise<void> {
  const { clock, timings } = state.dependencies;
  const deadline = clock.now() + timings.transferTimeout;
  leadership.transferring = true;
  let askedAt = -Infinity;
  while (!leadership.signal.aborted && clock.now() < deadline) {
    const successor = chooseSuccessor(state, leadership);
    if (successor === undefined) return;
    const caughtUp =
      successor.matchIndex >= state.log.lastIndex && state.commitIndex >= state.log.lastIndex;
    if (caughtUp && clock.now() - askedAt >= timings.electionTimeoutMinimum) {
      askedAt = clock.now();
      await askToStand(state, links, leadership, successor.memberId);
      continue;
    }
    await leadership.progressChanged.wait(timings.heartbeatInterval);
  }
}

async function askToStand(
  state: MemberState,
  links: PeerLinks,
  leadership: Leadership,
  memberId: string,
): Promise<void> {
  const { timings } = state.dependencies;
  try {
    const request = { term: leadership.term };
    await links.find(memberId)?.request('transfer', request, timings.electionTimeoutMinimum);
  } catch {
    // The next try asks again, perhaps another member.
  }
}

/** Answers the leader's wish that this member stand for election at once. */
export function handleTransfer(
  state: MemberState,
  request: RequestOf<'transfer'>,
  peerId: string,
): ResponseOf<'transfer'> {
  const accepted =
    request.term === state.term &&
    state.leaderId === peerId &&
    state.membership.isVoter(state.memberId);
  if (accepted) {
    state.transferTerm = request.term;
    state.roleChanged.notify();
  }
  return { accepted };
}
