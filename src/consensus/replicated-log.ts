/**
 * What the control plane needs of agreement: one ordered history of commands,
 * applied at every member. Implemented by the Raft node in this folder.
 */
import type { Stream } from '@most/types';

/** The state that the history builds. Must be deterministic. */
export interface StateMachine {
  /** Applies one committed command and returns its result for the proposer. */
  apply(command: Uint8Array, index: number): Uint8Array;
  /** The state after the last applied command. */
  snapshot(): Uint8Array;
  /** Replaces the state. */
  restore(snapshot: Uint8Array): void;
}

/** A command's place in the history and what applying it gave. */
export interface CommittedCommand {
  readonly index: number;
  readonly result: Uint8Array;
}

/** What this member knows of the group. */
export interface ReplicatedLogStatus {
  readonly memberId: string;
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner' | 'stopped';
  readonly term: number;
  readonly leaderId: string | undefined;
  readonly commitIndex: number;
  /** Highest index heard to be committed; above `commitIndex` while records are missing here. */
  readonly knownCommitIndex: number;
  readonly appliedIndex: number;
  readonly lastIndex: number;
  /** How long ago this member last knew of a quorum: 0 to a lease on a leader. Milliseconds. */
  readonly sinceQuorumMs: number;
  readonly members: readonly ReplicatedLogMember[];
  /** Ids of members that were removed. */
  readonly retiredIds: readonly string[];
}

/** One member of the group. */
export interface ReplicatedLogMember {
  readonly memberId: string;
  /** `host:port` for internal messages. */
  readonly address: string;
  readonly voter: boolean;
  /** Known on the leader only. */
  readonly matchIndex?: number;
  /** How long ago the leader last heard it; known on the leader only. Milliseconds. */
  readonly silentMs?: number;
}

/** One member's handle on the history. */
export interface ReplicatedLog {
  /**
   * Proposes a command and waits until it is committed and applied here.
   * A follower forwards it to the leader.
   *
   * @param caller - when it aborts, the command is not tried again at another leader.
   * @throws NotProposedError when it certainly never will be committed.
   * @throws ProposalOutcomeUnknownError when it may or may not be.
   */
  propose(command: Uint8Array, caller?: AbortSignal): Promise<CommittedCommand>;

  /**
   * Waits until everything committed before the call is applied here, with the
   * leader confirmed by a quorum.
   *
   * @throws NoQuorumError when that cannot be had.
   */
  readBarrier(): Promise<void>;

  status(): ReplicatedLogStatus;

  /** Emits the applied index each time it grows. */
  readonly applied: Stream<number>;

  /** Hands leadership over if held, then stops. */
  close(): Promise<void>;
}
