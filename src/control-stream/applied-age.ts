/**
 * How long ago a controller's state is known to have been the agreed one.
 * Hearing a quorum is not enough: a controller whose disk hangs hears the
 * leader, yet lacks what the leader committed.
 */
import type { ReplicatedLogStatus } from '../consensus/replicated-log.js';
import type { ControlStreamFaults } from './control-stream-faults.js';

/** Committed as of a moment at which a quorum stood. */
interface AwaitedCommit {
  readonly index: number;
  /** Clock reading. */
  readonly quorumAt: number;
}

/** What the age is read from. */
export type AppliedStatus = Pick<
  ReplicatedLogStatus,
  'appliedIndex' | 'knownCommitIndex' | 'sinceQuorumMs'
>;

/** Of one controller; read at least at each heartbeat. */
export class AppliedAge {
  private upToDateAt = Number.NEGATIVE_INFINITY;
  /** One at a time, so that a controller that keeps up under load is not taken for a late one. */
  private awaited: AwaitedCommit | undefined;

  constructor(private readonly faults: ControlStreamFaults) {}

  /** Milliseconds; Infinity before the state was known to be the agreed one. */
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
