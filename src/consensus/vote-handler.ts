/** Answers candidates. A vote is durable before it is given. */
import type { MemberState } from './member-state.js';
import type { RequestOf, ResponseOf } from './messages.js';
import { stopOnDiskError } from './record-writer.js';

/** Whether the candidate's log holds at least everything that may be committed. */
function logIsCurrent(state: MemberState, request: RequestOf<'vote'>): boolean {
  if (state.dependencies.faults.ignoreLogOrder === true) return true;
  const { lastTerm, lastIndex } = state.log;
  if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm;
  return request.lastIndex >= lastIndex;
}

/** Whether this member's vote in the candidate's term is still free. */
function voteIsFree(state: MemberState, request: RequestOf<'vote'>): boolean {
  if (request.term > state.term) return true;
  const { votedFor } = state.dependencies.storage.hardState;
  const voted = votedFor !== undefined && votedFor !== request.candidateId;
  return !voted || state.dependencies.faults.voteTwice === true;
}

async function decideVote(state: MemberState, request: RequestOf<'vote'>): Promise<boolean> {
  // While a leader is live it keeps its quorum: without this, a member that
  // was removed, or cut off one way only, could unseat it again and again.
  const protectedLeader = state.leaderIsLive && !request.transfer;
  if (!state.bootstrapped || protectedLeader || request.term < state.term) return false;
  const grant = logIsCurrent(state, request) && voteIsFree(state, request);
  if (request.preVote) return grant && request.term > state.term;
  if (!grant) {
    await stopOnDiskError(state, () => state.adoptTerm(request.term));
    return false;
  }
  await stopOnDiskError(state, () => state.recordVote(request.term, request.candidateId));
  state.becomeFollower(undefined, 'higher term');
  state.electionTimerStart = state.dependencies.clock.now();
  return true;
}

/** Answers a request for a vote. */
export async function handleVote(
  state: MemberState,
  request: RequestOf<'vote'>,
): Promise<ResponseOf<'vote'>> {
  return state.runExclusive(async () => {
    const granted = await decideVote(state, request);
    return { term: state.term, granted };
  });
}
