/** Errors of the replicated log. */
import { DriftwayError, ErrorLabel } from '../errors/driftway-error.js';

/** The command certainly never will be committed; proposing it again doubles nothing. */
export class NotProposedError extends DriftwayError {
  constructor(message: string, peer?: string, label = ErrorLabel.Transient) {
    super(message, { step: 'propose', peer, labels: [ErrorLabel.NotRun, label] });
  }
}

/** The command may have been committed, or may still be. */
export class ProposalOutcomeUnknownError extends DriftwayError {
  constructor(message: string, peer?: string, cause?: unknown) {
    super(message, { step: 'propose', peer, cause });
  }
}

/** Reason of a refusal that nobody waits for. */
export const CALLER_GONE_REASON = 'the caller has closed its connection';

/** Reason of a refusal while no leader is known. */
export function describeLeaderlessTime({
  leaderlessMs,
}: {
  readonly leaderlessMs: number;
}): string {
  return `no leader for ${Math.round(leaderlessMs)} ms`;
}

/** No leader confirmed by a quorum could be had in time. */
export class NoQuorumError extends DriftwayError {
  constructor(message: string, peer?: string) {
    super(message, {
      step: 'read barrier',
      peer,
      labels: [ErrorLabel.NotRun, ErrorLabel.Transient],
    });
  }
}

/** A change of members was refused; nothing was changed. */
export class MembershipChangeRefusedError extends DriftwayError {
  constructor(
    /** The message without the step. */
    readonly reason: string,
    label = ErrorLabel.BadInput,
  ) {
    super(reason, { step: 'change membership', labels: [ErrorLabel.NotRun, label] });
  }
}

/**
 * The group knows this member id under another incarnation: this data folder is
 * not the one that voted before.
 */
export class IncarnationMismatchError extends DriftwayError {
  constructor(memberId: string, peer: string) {
    super(
      `the group knows member "${memberId}" by another data folder than this one; if its disk was ` +
        'lost, remove the member and add a new member id as a learner ' +
        '(see docs/operators/replace-controller.md)',
      { step: 'join group', peer, labels: [ErrorLabel.BadInput] },
    );
  }
}

/** The group removed this member for good, so its data folder is of no more use. */
export class MemberRetiredError extends DriftwayError {
  constructor(memberId: string, peer: string) {
    super(`member "${memberId}" was removed`, { step: 'join group', peer });
  }
}

/** The data folder is whole and another member's; the settings file is wrong. */
export class ForeignDataFolderError extends DriftwayError {
  constructor(memberId: string, clusterId: string) {
    super(
      `the folder belongs to member "${memberId}" of cluster "${clusterId}"; correct memberId, ` +
        'cluster.id or dataFolder in the settings file',
      { step: 'read data folder', labels: [ErrorLabel.BadInput] },
    );
  }
}

/** A request to another member failed. */
export class PeerRequestError extends DriftwayError {
  constructor(
    step: string,
    peer: string,
    message: string,
    /** False only when no byte of the request left this process. */
    readonly sent: boolean,
    cause?: unknown,
  ) {
    super(message, { step, peer, labels: [ErrorLabel.Transient], cause });
  }
}

/** A frame that is no message of this protocol. */
export class MalformedMessageError extends DriftwayError {
  constructor(peer: string, message: string, cause?: unknown) {
    super(message, { step: 'decode message', peer, cause });
  }
}
