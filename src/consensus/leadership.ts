/**
 * One member's leadership during one term: its own record that opens the term,
 * two tasks for each other member (records and heartbeats), and one that steps
 * down when no quorum answers.
 */
import { LogRecordKind, type LogRecord } from '../storage/log-record.js';
import { FollowerProgress } from './follower-progress.js';
import { heartbeatFollower } from './heartbeat-task.js';
import { describeMembers, type Member } from './membership.js';
import type { MemberState } from './member-state.js';
import { Notifier } from './notifier.js';
import type { PeerLinks } from './peer-links.js';
import { replicateToFollower } from './replication-task.js';

const EMPTY_PAYLOAD = new Uint8Array(0);

/** Lives from the won election to the end of the leadership. */
export class Leadership {
  /** Index of the record that opened the term; committing it commits all before. */
  readonly openingIndex: number;
  /** Set while a successor is sought; no proposals are taken meanwhile. */
  transferring = false;
  /** Counts the confirmations asked for by reads. */
  readRound = 0;
  /** A member confirmed the leadership, or caught up. */
  readonly progressChanged: Notifier;
  private readonly followers = new Map<string, FollowerProgress>();
  private readonly controller = new AbortController();

  constructor(
    private readonly state: MemberState,
    private readonly links: PeerLinks,
    readonly term: number,
    /** When the votes were asked for: a quorum is known to have stood since. */
    private readonly electedAt: number,
  ) {
    this.progressChanged = new Notifier(state.dependencies.clock);
    this.openingIndex = state.log.lastIndex + 1;
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Opens the term and starts the tasks. */
  start(): void {
    this.append(LogRecordKind.Noop, EMPTY_PAYLOAD);
    void this.watchQuorum();
  }

  /** Ends all tasks of this leadership. */
  end(): void {
    this.controller.abort(new Error('leadership ended'));
    for (const follower of this.followers.values()) follower.end();
    this.progressChanged.close();
  }

  /** Adds a record to the log; every member learns of it, this one's disk included. */
  append(kind: LogRecordKind, payload: Uint8Array): LogRecord {
    const record = this.state.log.append(this.term, kind, payload);
    this.followMembers();
    this.state.recordsAdded.notify();
    for (const follower of this.followers.values()) follower.recordsWanted.notify();
    return record;
  }

  progressOf(memberId: string): FollowerProgress | undefined {
    return this.followers.get(memberId);
  }

  /** Commits what a majority of the voters holds durably. */
  advanceCommit(): void {
    if (this.signal.aborted) return;
    const { log, memberId, membership } = this.state;
    const { faults } = this.state.dependencies;
    const ownIndex = faults.acknowledgeBeforeSync === true ? log.lastIndex : log.syncedIndex;
    const index = membership.quorumValue((id) =>
      id === memberId ? ownIndex : (this.followers.get(id)?.matchIndex ?? 0),
    );
    if (index <= this.state.commitIndex) return;
    // A record of an earlier term may still be replaced although a majority
    // holds it; it is committed by a later one of this term.
    const ofThisTerm = log.termAt(index) === this.term;
    if (!ofThisTerm && faults.commitOldTermEntries !== true) return;
    this.state.advanceCommit(index);
    this.progressChanged.notify();
    this.followMembers();
    for (const follower of this.followers.values()) follower.recordsWanted.notify();
    this.leaveIfRemoved();
  }

  /** When a quorum is last known to have stood, by the clock here. */
  get quorumKnownAt(): number {
    const { memberId, membership } = this.state;
    const now = this.state.dependencies.clock.now();
    return membership.quorumValue((id) =>
      id === memberId ? now : (this.followers.get(id)?.confirmedAt ?? -Infinity),
    );
  }

  /** Starts a round of confirmation and returns its number. */
  beginReadRound(): number {
    this.readRound += 1;
    for (const follower of this.followers.values()) follower.heartbeatWanted.notify();
    return this.readRound;
  }

  /** Whether a quorum answered a heartbeat sent at or after the round began. */
  isRoundConfirmed(round: number): boolean {
    const { memberId, membership } = this.state;
    const confirmed = membership.quorumValue((id) =>
      id === memberId ? Infinity : (this.followers.get(id)?.confirmedRound ?? 0),
    );
    return confirmed >= round;
  }

  /** Starts tasks for new members and ends those of members whose removal is committed. */
  private followMembers(): void {
    const { membership, memberId, log, commitIndex } = this.state;
    const isCommitted = log.memberships.latestIndex <= commitIndex;
    const added = membership.members
      .filter((member) => member.memberId !== memberId && !this.followers.has(member.memberId))
      // A learner of a change that is taken back would be left with a history that the group refuses.
      .filter(({ voter }) => voter || isCommitted)
      .map((member) => this.addFollower(member));
    // Only now: the tasks look at the progress of all members.
    for (const follower of added) {
      void replicateToFollower(this.state, this, this.links, follower);
      void heartbeatFollower(this.state, this, this.links, follower);
    }
    if (!isCommitted) return;
    for (const [id, follower] of this.followers) {
      if (membership.find(id) !== undefined) continue;
      follower.end();
      this.followers.delete(id);
      this.links.drop(id);
    }
  }

  private addFollower({ memberId, voter }: Member): FollowerProgress {
    const { clock } = this.state.dependencies;
    const confirmedAt = voter ? this.electedAt : -Infinity;
    const follower = new FollowerProgress(memberId, clock, this.openingIndex, confirmedAt);
    this.followers.set(memberId, follower);
    return follower;
  }

  /** Steps down once no quorum has answered for the shortest election timeout. */
  private async watchQuorum(): Promise<void> {
    const { clock, timings } = this.state.dependencies;
    while (!this.signal.aborted) {
      const silence = clock.now() - this.quorumKnownAt;
      if (silence >= timings.electionTimeoutMinimum) {
        this.logSilentVoters();
        this.state.becomeFollower(undefined, 'no quorum');
        return;
      }
      await this.progressChanged.wait(timings.heartbeatInterval);
    }
  }

  private logSilentVoters(): void {
    const { membership, memberId, dependencies } = this.state;
    const { clock, timings, logger } = dependencies;
    const heardSince = clock.now() - timings.electionTimeoutMinimum;
    const silent = membership.voters
      .filter((voter) => voter.memberId !== memberId)
      .filter(
        (voter) => (this.followers.get(voter.memberId)?.confirmedAt ?? -Infinity) <= heardSince,
      )
      .map((voter) => voter.memberId);
    const members = describeMembers(membership);
    logger.info('no quorum answers', { term: this.term, ...members, silent: silent.join(' ') });
  }

  /** A leader that was removed leads only until its removal is committed. */
  private leaveIfRemoved(): void {
    const { log, membership, memberId, commitIndex } = this.state;
    if (membership.isVoter(memberId) || log.memberships.latestIndex > commitIndex) return;
    this.state.becomeFollower(undefined, 'removed');
  }
}
