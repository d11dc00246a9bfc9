/** Takes over a leader's records and hears its heartbeats. */
import { DriftwayError } from '../errors/driftway-error.js';
import type { LogRecord } from '../storage/log-record.js';
import type { MemberState } from './member-state.js';
import type { RequestOf, ResponseOf } from './messages.js';
import { decodeRecords } from './record-transfer.js';
import { persistOrFail, stopOnDiskError } from './record-writer.js';

/** Where the leader should try next after records that do not follow what is held. */
function nextIndexAfterMismatch(state: MemberState, previousIndex: number): number {
  if (previousIndex > state.log.lastIndex) return state.log.lastIndex + 1;
  // Skips the whole conflicting term in one step.
  return state.log.firstIndexOfTermAt(previousIndex);
}

/** Whether the record before the new ones is held here and the same. */
function follows(state: MemberState, previousIndex: number, previousTerm: number): boolean {
  // What a snapshot covers is committed, so it agrees with every leader.
  if (previousIndex <= state.log.baseIndex) return true;
  return state.log.termAt(previousIndex) === previousTerm;
}

function refuseReplacingCommitted(state: MemberState, records: readonly LogRecord[]): void {
  const conflict = state.log.firstConflict(records);
  if (conflict === undefined || conflict > state.commitIndex) return;
  const message = `record ${conflict} is committed here and differs from the leader's`;
  const error = new DriftwayError(message, { step: 'append records' });
  state.fail(error);
  throw error;
}

/** What any leader committed stays committed, also where its records are missing. */
function noteLeaderCommit(
  state: MemberState,
  { commitIndex }: { readonly commitIndex: number },
): void {
  state.leaderCommitIndex = Math.max(state.leaderCommitIndex, commitIndex);
}

/** Adds the records; a member that they promote has to know that it may stand for election. */
function mergeRecords(state: MemberState, records: readonly LogRecord[]): void {
  const { membership } = state;
  state.log.merge(records);
  if (state.membership !== membership) state.roleChanged.notify();
}

async function appendRecords(
  state: MemberState,
  request: RequestOf<'append'>,
): Promise<ResponseOf<'append'>> {
  const refusal = { accepted: false, matchIndex: 0, nextIndex: 1, needsSnapshot: false };
  if (request.term < state.term) return { ...refusal, term: state.term };
  noteLeaderCommit(state, request);
  await stopOnDiskError(state, () => state.adoptTerm(request.term));
  if (state.leadership !== undefined) throw new Error('two leaders in one term');
  state.hearLeader(request.leaderId);
  const { term } = state;
  if (!state.bootstrapped) return { ...refusal, term, needsSnapshot: true };
  const { previousIndex, previousTerm } = request;
  if (!follows(state, previousIndex, previousTerm)) {
    return { ...refusal, term, nextIndex: nextIndexAfterMismatch(state, previousIndex) };
  }
  const records = decodeRecords(request.records, previousIndex);
  refuseReplacingCommitted(state, records);
  mergeRecords(state, records);
  if (state.dependencies.faults.acknowledgeBeforeSync === true) state.recordsAdded.notify();
  else await persistOrFail(state);
  state.hearLeader(request.leaderId);
  const matchIndex = previousIndex + records.length;
  state.verifiedIndex = Math.max(state.verifiedIndex, matchIndex);
  state.advanceCommit(Math.min(request.commitIndex, state.verifiedIndex));
  return { term, accepted: true, matchIndex, nextIndex: matchIndex + 1, needsSnapshot: false };
}

/**
 * Waits while the log is full and a snapshot that allows compaction is being written. Accepts records
 * if none is being written: the next snapshot needs them to be committed.
 *
 * @throws DriftwayError when there is no room in time; the leader then sends the records again.
 */
async function waitForRoom(state: MemberState): Promise<void> {
  const { clock, storage, timings } = state.dependencies;
  const deadline = clock.now() + timings.replicationTimeout;
  while (state.isSnapshotUnderWay && state.log.storedBytes > storage.logLimits.maximumBytes) {
    state.signal.throwIfAborted();
    const remaining = deadline - clock.now();
    if (remaining <= 0) {
      throw new DriftwayError('the log has no room for further records', {
        step: 'append records',
      });
    }
    await state.logCompacted.wait(remaining);
  }
}

/** Answers records once they are durable. */
export async function handleAppend(
  state: MemberState,
  request: RequestOf<'append'>,
): Promise<ResponseOf<'append'>> {
  if (request.term >= state.term && state.leadership === undefined) {
    // Also while the lock is held by a slow sync.
    state.electionTimerStart = state.dependencies.clock.now();
  }
  await waitForRoom(state);
  return state.runExclusive(() => appendRecords(state, request));
}

/** Remembers since when a quorum is known to have stood, by the clock here. */
function noteQuorum(state: MemberState, request: RequestOf<'heartbeat'>): void {
  if (request.echoedSession !== state.session) return;
  // The leader sent this after it got the echoed answer, so it knew of its
  // quorum no longer before that answer than it says.
  const knownAt = request.echoedTime - request.sinceQuorumMs;
  state.quorumKnownAt = Math.max(state.quorumKnownAt, knownAt);
}

/** Answers a heartbeat; touches the disk only when the term is new. */
export async function handleHeartbeat(
  state: MemberState,
  request: RequestOf<'heartbeat'>,
): Promise<ResponseOf<'heartbeat'>> {
  if (request.term > state.term) {
    await state.runExclusive(() => stopOnDiskError(state, () => state.adoptTerm(request.term)));
  }
  if (request.term === state.term && state.leadership === undefined) {
    state.hearLeader(request.leaderId);
    noteQuorum(state, request);
    noteLeaderCommit(state, request);
    state.advanceCommit(Math.min(request.commitIndex, state.verifiedIndex));
  }
  const time = state.dependencies.clock.now();
  return { term: state.term, time, session: state.session };
}
