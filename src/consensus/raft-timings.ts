/** Times and sizes of the protocol, with their defaults. */

/** All durations are milliseconds. */
export interface RaftTimings {
  /** Between two heartbeats of a leader to one member. */
  readonly heartbeatInterval: number;
  /**
   * Shortest silence of the leader after which a member stands for election;
   * also the longest a leader goes on without hearing a quorum. A small
   * multiple of the slowest sync and of scheduling pauses.
   */
  readonly electionTimeoutMinimum: number;
  /** Longest such silence; the spread keeps members from standing at once. */
  readonly electionTimeoutMaximum: number;
  /** Part of such a silence that is waited for the first time after a start. 0 to 1. */
  readonly firstElectionPart: number;
  /** Wait before dialling a member again. */
  readonly redialInterval: number;
  /**
   * Longest time to open a connection to a member, and again for its hello. Apart from the time that a
   * request waits for it: a busy member takes long to prove who it is, and to begin anew would take as
   * long again.
   */
  readonly connectionTimeout: number;
  /** Longest wait for the answer to records or a snapshot chunk, a slow sync included. */
  readonly replicationTimeout: number;
  /** Longest wait of a proposal for its outcome. */
  readonly proposalTimeout: number;
  /** Longest wait of a read barrier. */
  readonly readTimeout: number;
  /** Longest wait of a planned stop for a successor. */
  readonly transferTimeout: number;
  /** Longest wait of a promotion for the learner to catch up. */
  readonly catchUpTimeout: number;
}

export const DEFAULT_RAFT_TIMINGS: RaftTimings = {
  heartbeatInterval: 100,
  electionTimeoutMinimum: 1_000,
  electionTimeoutMaximum: 2_000,
  firstElectionPart: 1,
  redialInterval: 100,
  connectionTimeout: 2_000,
  replicationTimeout: 5_000,
  proposalTimeout: 10_000,
  readTimeout: 5_000,
  transferTimeout: 2_000,
  catchUpTimeout: 10_000,
};

/** Sizes that bound memory and frames. */
export interface RaftLimits {
  /** Longest command. Bytes. */
  readonly maximumCommandBytes: number;
  /** Most bytes of records in one message to a member. */
  readonly maximumAppendBytes: number;
  /** Bytes of a snapshot in one message. */
  readonly snapshotChunkBytes: number;
  /** Longest snapshot that is accepted from a leader. Bytes. */
  readonly maximumSnapshotBytes: number;
  /** Space on the disk of the data folder; {@link logLimits} divides it. Bytes. */
  readonly capacityBytes: number;
  /** A snapshot is taken once this many records were applied since the last one, or fewer long ones. */
  readonly snapshotEveryRecords: number;
  /** Of the records before a snapshot, at most this many are kept for members that lag a little. */
  readonly retainedRecords: number;
  /** Size at which the log begins a new segment, where the disk allows it. Bytes. */
  readonly segmentBytes: number;
  /** Records a learner may lack when it is promoted. */
  readonly promotionLag: number;
  /** Requests of one connection that are worked on at once. */
  readonly maximumConcurrentRequests: number;
}

const MEBIBYTE = 1024 * 1024;

export const DEFAULT_RAFT_LIMITS: RaftLimits = {
  // Holds the longest route document, and fits one record of the log and one frame.
  maximumCommandBytes: 3 * MEBIBYTE,
  maximumAppendBytes: MEBIBYTE,
  snapshotChunkBytes: MEBIBYTE,
  maximumSnapshotBytes: 256 * MEBIBYTE,
  capacityBytes: 1024 * MEBIBYTE,
  snapshotEveryRecords: 1_000,
  retainedRecords: 500,
  segmentBytes: 4 * MEBIBYTE,
  promotionLag: 16,
  maximumConcurrentRequests: 256,
};
