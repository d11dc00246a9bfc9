/** What a member reports of itself and of the group. */
import type { MemberState } from './member-state.js';
import type { ReplicatedLogMember, ReplicatedLogStatus } from './replicated-log.js';

function roleOf(state: MemberState): ReplicatedLogStatus['role'] {
  if (state.signal.aborted) return 'stopped';
  if (state.role !== 'follower') return state.role;
  return state.membership.isVoter(state.memberId) ? 'follower' : 'learner';
}

function membersOf(state: MemberState): ReplicatedLogMember[] {
  const { leadership, log } = state;
  return state.membership.members.map(({ memberId, address, voter }) => {
    if (leadership === undefined) return { memberId, address, voter };
    const matchIndex =
      memberId === state.memberId
        ? log.syncedIndex
        : (leadership.progressOf(memberId)?.matchIndex ?? 0);
    const heardAt = leadership.progressOf(memberId)?.confirmedAt ?? -Infinity;
    const silentMs = memberId === state.memberId ? 0 : state.dependencies.clock.now() - heardAt;
    return { memberId, address, voter, matchIndex, silentMs };
  });
}

/** A reading of the state at this moment. */
export function memberStatus(state: MemberState): ReplicatedLogStatus {
  const knownAt = state.leadership?.quorumKnownAt ?? state.quorumKnownAt;
  return {
    memberId: state.memberId,
    role: roleOf(state),
    term: state.term,
    leaderId: state.leaderId,
    commitIndex: state.commitIndex,
    knownCommitIndex: Math.max(state.commitIndex, state.leaderCommitIndex),
    appliedIndex: state.appliedIndex,
    lastIndex: state.log.lastIndex,
    sinceQuorumMs: Math.max(0, state.dependencies.clock.now() - knownAt),
    members: membersOf(state),
    retiredIds: state.membership.retiredIds,
  };
}
