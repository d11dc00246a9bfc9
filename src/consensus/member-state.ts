/**
 * The state that the tasks of one member share. Tasks run on one thread and
 * change it between awaits; everything that also changes the disk is done
 * in sections of {@link MemberState.runExclusive}, called the lock below.
 */
import { DriftwayError } from '../errors/driftway-error.js';
import type { Logger } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';
import type { RandomSource } from '../seams/random-source.js';
import type { ConsensusMetrics } from './consensus-metrics.js';
import type { Leadership } from './leadership.js';
import type { Membership } from './membership.js';
import type { MemberStorage } from './member-storage.js';
import { Mutex } from './mutex.js';
import { Notifier } from './notifier.js';
import type { RaftFaults } from './raft-faults.js';
import type { RaftLog } from './raft-log.js';
import type { RaftLimits, RaftTimings } from './raft-timings.js';
import type { StateMachine } from './replicated-log.js';

/** Ballots of an election: the pre-vote and the vote. Each ends within the shortest election timeout. */
const BALLOTS_OF_ELECTION = 2;

/** What a member's tasks need from outside. */
export interface MemberDependencies {
  readonly clusterId: string;
  readonly memberId: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: ConsensusMetrics;
  readonly timings: RaftTimings;
  readonly limits: RaftLimits;
  readonly faults: RaftFaults;
  /** See `RaftOptions.stopWhenRetired`. */
  readonly stopWhenRetired: boolean;
  readonly stateMachine: StateMachine;
  readonly storage: MemberStorage;
}

/** Part a voter plays at the moment. */
export type VoterRole = 'leader' | 'follower' | 'candidate';

/** Shared state of one member. */
export class MemberState {
  private readonly lock = new Mutex();
  /** Role, term, leader, membership or bootstrap changed. */
  readonly roleChanged: Notifier;
  readonly commitChanged: Notifier;
  readonly appliedChanged: Notifier;
  /** Records were added that are not durable yet. */
  readonly recordsAdded: Notifier;
  /** The log may have become shorter. */
  readonly logCompacted: Notifier;
  /** Tells this process from earlier ones on the same data folder. */
  readonly session: string;

  role: VoterRole = 'follower';
  leaderId: string | undefined;
  /** Set while this member leads. */
  leadership: Leadership | undefined;
  commitIndex: number;
  appliedIndex: number;
  /** Whether a snapshot is being written, after which the log is compacted. */
  isSnapshotUnderWay = false;
  /** Highest commit index that a leader told; the records may be missing here. */
  leaderCommitIndex = 0;
  /** Last index known to agree with the leader of the current term. */
  verifiedIndex = 0;
  /** When a leader was last heard; -Infinity before the first time. */
  lastLeaderContact = -Infinity;
  /** Start of the silence after which this member may stand for election. */
  electionTimerStart: number;
  /** On a follower: when, by the clock here, a quorum is known to have stood. */
  quorumKnownAt = -Infinity;
  /** The term in which the leader asked this member to stand at once. */
  transferTerm: number | undefined;

  /** When this member started, or last ceased to lead. */
  private leaderSoughtSince: number;
  private readonly stopController = new AbortController();
  private failureCause: DriftwayError | undefined;

  constructor(readonly dependencies: MemberDependencies) {
    const { clock, random, storage } = dependencies;
    this.roleChanged = new Notifier(clock);
    this.commitChanged = new Notifier(clock);
    this.appliedChanged = new Notifier(clock);
    this.recordsAdded = new Notifier(clock);
    this.logCompacted = new Notifier(clock);
    this.session = random.nextIdentifier(8);
    this.electionTimerStart = clock.now();
    this.leaderSoughtSince = clock.now();
    this.commitIndex = storage.snapshot?.index ?? 0;
    this.appliedIndex = this.commitIndex;
  }

  get memberId(): string {
    return this.dependencies.memberId;
  }

  get log(): RaftLog {
    return this.dependencies.storage.log;
  }

  get term(): number {
    return this.dependencies.storage.hardState.term;
  }

  get incarnation(): string {
    return this.dependencies.storage.hardState.incarnation;
  }

  /** The newest membership in the log, committed or not. */
  get membership(): Membership {
    return this.log.memberships.latest;
  }

  /** Whether this member has a history, if only the empty one. */
  get bootstrapped(): boolean {
    return this.dependencies.storage.snapshot !== undefined;
  }

  /** Aborts when the member stops. */
  get signal(): AbortSignal {
    return this.stopController.signal;
  }

  /** Why the member stopped by itself, if it did. */
  get failure(): DriftwayError | undefined {
    return this.failureCause;
  }

  /**
   * Runs a section that changes the disk after all earlier ones have settled.
   *
   * @throws the stop's reason once the member has stopped.
   */
  runExclusive<T>(section: () => Promise<T>): Promise<T> {
    return this.lock.runExclusive(async () => {
      this.signal.throwIfAborted();
      return section();
    });
  }

  /** Resolves once no section is under way. */
  idle(): Promise<void> {
    return this.lock.runExclusive(async () => undefined);
  }

  /** Ends all tasks. */
  stop(): void {
    if (this.signal.aborted) return;
    this.leadership?.end();
    this.leadership = undefined;
    this.leaderId = undefined;
    this.stopController.abort(new Error('member stopped'));
    this.roleChanged.close();
    this.commitChanged.close();
    this.appliedChanged.close();
    this.recordsAdded.close();
    this.logCompacted.close();
  }

  /** Stops for good because the member cannot vouch for its state any more. */
  fail(error: DriftwayError): void {
    if (this.signal.aborted) return;
    this.failureCause = error;
    this.dependencies.logger.error('member stopped', { reason: error.message });
    this.stop();
  }

  /** Stops for an error that no task expects. */
  failUnexpectedly(error: unknown): void {
    const known = error instanceof DriftwayError;
    this.fail(known ? error : new DriftwayError(String(error), { step: 'run task', cause: error }));
  }

  /** Moves to a higher term as a follower. Under the lock only. */
  async adoptTerm(term: number): Promise<void> {
    if (term <= this.term) return;
    await this.dependencies.storage.saveVote(term, undefined);
    this.noteNewTerm();
    this.becomeFollower(undefined, 'higher term');
  }

  /** Votes in a term, raising it if needed. Under the lock only. */
  async recordVote(term: number, candidateId: string): Promise<void> {
    const isNewTerm = term > this.term;
    await this.dependencies.storage.saveVote(term, candidateId);
    if (isNewTerm) this.noteNewTerm();
  }

  /** Ceases to lead or to stand. */
  becomeFollower(leaderId: string | undefined, reason: string): void {
    const changed = this.role !== 'follower' || this.leaderId !== leaderId;
    if (this.role === 'leader') {
      this.dependencies.metrics.leadershipsLost.inc({ reason });
      this.dependencies.logger.info('leadership lost', { term: this.term, reason });
      this.electionTimerStart = this.dependencies.clock.now();
      this.leaderSoughtSince = this.dependencies.clock.now();
    }
    this.leadership?.end();
    this.leadership = undefined;
    this.role = 'follower';
    this.leaderId = leaderId;
    if (changed) this.roleChanged.notify();
  }

  /** A leader of the current term was heard. */
  hearLeader(leaderId: string): void {
    const now = this.dependencies.clock.now();
    this.lastLeaderContact = now;
    this.electionTimerStart = now;
    if (this.leaderId === leaderId && this.role === 'follower') return;
    this.becomeFollower(leaderId, 'another leader');
    this.dependencies.logger.info('leader known', { term: this.term, leader: leaderId });
  }

  /** Whether a leader was heard so lately that no other may be elected. */
  get leaderIsLive(): boolean {
    if (this.leadership !== undefined) return true;
    const silence = this.dependencies.clock.now() - this.lastLeaderContact;
    return silence < this.dependencies.timings.electionTimeoutMinimum;
  }

  /** How long no leader has been known here; 0 on the leader. Milliseconds. */
  get leaderlessMs(): number {
    if (this.leadership !== undefined) return 0;
    const knownAt = Math.max(this.lastLeaderContact, this.leaderSoughtSince);
    return this.dependencies.clock.now() - knownAt;
  }

  /**
   * Whether an election has failed, so that nothing here should wait for the next one: one that began
   * after the longest silence, with ballots that took as long as they may.
   */
  get isWithoutLeader(): boolean {
    const { electionTimeoutMinimum, electionTimeoutMaximum } = this.dependencies.timings;
    const longestElection = BALLOTS_OF_ELECTION * electionTimeoutMinimum;
    return this.leaderlessMs > electionTimeoutMaximum + longestElection;
  }

  /** Raises the commit index. */
  advanceCommit(index: number): void {
    if (index <= this.commitIndex) return;
    this.commitIndex = index;
    this.dependencies.metrics.commitIndex.set(index);
    this.commitChanged.notify();
  }

  private noteNewTerm(): void {
    this.verifiedIndex = 0;
    this.dependencies.metrics.term.set(this.term);
  }
}
