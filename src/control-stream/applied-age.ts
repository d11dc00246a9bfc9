/**
 * Computes how long ago a controller's state was last known to contain every
 * committed change. Contact with a quorum is not enough: a controller whose
 * disk hangs still hears the leader, but has not applied what the leader
 * committed.
 */
import type { ReplicatedLogStatus } from '../consensus/replicated-log.js';
import type { ControlStreamFaults } from './control-stream-faults.js';

/** A commit index that was known at the time of a quorum contact, and is not yet applied. */
interface AwaitedCommit {
  readonly index: number;
  /** Clock reading of that quorum contact. Milliseconds. */
  readonly quorumAt: number;
}

/** The fields of the log's status from which the age is computed. */
export type AppliedStatus = Pick<
  ReplicatedLogStatus,
  'appliedIndex' | 'knownCommitIndex' | 'sinceQuorumMs'
>;

/** The age of one controller's state. Must be read at least once per heartbeat. */
export class AppliedAge {
  private upToDateAt = Number.NEGATIVE_INFINITY;
  /**
   * The commit index that must be applied before the state counts as up to date
   * again. It is replaced only once reached: a target that moved with each commit
   * would make a controller that keeps up under load look late.
   */
  private awaited: AwaitedCommit | undefined;

  constructor(private readonly faults: ControlStreamFaults) {}

  /** Age of the state in milliseconds; Infinity until it was first known to be up to date. */
  read({ appliedIndex, knownCommitIndex, sinceQuorumMs }: AppliedStatus, now: number): number {
    if (this.faults.ignoreApplyLag === true) return sinceQuorumMs;
    const quorumAt = now - sinceQuorumMs;
    const { awaited } = this;
    if (awaited !== undefined && appliedIndex >= awaited.index) {
      this.upToDateAt = Math.max(this.upToDateAt, awaited.quorumAt);
      this.awaited = undefined;
    }
    if (appliedIndex >= knownCommitIndex) this.upToDateAt = Math.max(this.upToDateAt, quorumAt);
    else this.awaited ??= { index: knownCommitIndex, quorumAt };
    return now - this.upToDateAt;
  }
}
