/**
 * Heartbeats of a leader to one member. They are apart from the records so
 * that a slow disk or a snapshot does not delay them, and they are what
 * confirms the leadership for reads and for the check of the quorum.
 */
import type { FollowerProgress } from './follower-progress.js';
import type { Leadership } from './leadership.js';
import type { MemberState } from './member-state.js';
import type { PeerLinks } from './peer-links.js';

/** Sends one heartbeat and takes in the answer. */
async function sendHeartbeat(
  state: MemberState,
  leadership: Leadership,
  links: PeerLinks,
  follower: FollowerProgress,
): Promise<void> {
  const { clock, timings } = state.dependencies;
  const link = links.find(follower.memberId);
  if (link === undefined) return;
  const sentAt = clock.now();
  const round = leadership.readRound;
  const request = {
    term: leadership.term,
    leaderId: state.memberId,
    commitIndex: state.commitIndex,
    echoedTime: follower.peerTime,
    echoedSession: follower.peerSession,
    sinceQuorumMs: Math.max(0, sentAt - leadership.quorumKnownAt),
  };
  const response = await link.request('heartbeat', request, timings.electionTimeoutMinimum / 2);
  if (response.term > leadership.term) {
    await state.runExclusive(() => state.adoptTerm(response.term));
    return;
  }
  follower.confirmedAt = Math.max(follower.confirmedAt, sentAt);
  follower.confirmedRound = Math.max(follower.confirmedRound, round);
  follower.peerTime = response.time;
  follower.peerSession = response.session;
  leadership.progressChanged.notify();
}

/** Runs until the member is no longer followed. */
export async function heartbeatFollower(
  state: MemberState,
  leadership: Leadership,
  links: PeerLinks,
  follower: FollowerProgress,
): Promise<void> {
  const { clock, timings } = state.dependencies;
  while (!follower.signal.aborted) {
    const startedAt = clock.now();
    const round = leadership.readRound;
    try {
      await sendHeartbeat(state, leadership, links, follower);
    } catch {
      // The link counts the failure; the next heartbeat dials again.
      await follower.heartbeatWanted.wait(timings.redialInterval);
      continue;
    }
    if (leadership.readRound > round) continue;
    const rest = startedAt + timings.heartbeatInterval - clock.now();
    await follower.heartbeatWanted.wait(rest);
  }
}
