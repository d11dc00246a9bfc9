/**
 * Changes who belongs to the group, one member at a time: then any majority of
 * the old members and any of the new ones share a member, and no second quorum
 * can form.
 */
import { ErrorLabel } from '../errors/driftway-error.js';
import { parseAddress } from '../seams/address.js';
import { LogRecordKind } from '../storage/log-record.js';
import {
  MembershipChangeRefusedError,
  PeerRequestError,
  ProposalOutcomeUnknownError,
} from './consensus-errors.js';
import type { Leadership } from './leadership.js';
import type { MemberState } from './member-state.js';
import { describeMembers, type Member, type Membership } from './membership.js';
import { MembershipAction, type MembershipChange } from './membership-action.js';
import type { RequestOf, ResponseOf } from './messages.js';
import { OutcomeKind } from './outcome-kind.js';
import type { PeerLinks } from './peer-links.js';
import type { PendingProposals } from './pending-proposals.js';

const EMPTY_RESULT = new Uint8Array(0);
const MAXIMUM_REASON_LENGTH = 512;

function refuseForNow(message: string): MembershipChangeRefusedError {
  return new MembershipChangeRefusedError(message, ErrorLabel.Transient);
}

function outcomeOf(error: unknown): OutcomeKind {
  if (!(error instanceof MembershipChangeRefusedError)) return OutcomeKind.Unknown;
  return error.hasLabel(ErrorLabel.BadInput) ? OutcomeKind.Rejected : OutcomeKind.NotProposed;
}

/** A resend that finds the learner it added is no misuse. */
function refuseUsedId(membership: Membership, memberId: string, address: string): void {
  if (membership.retiredIds.includes(memberId)) {
    throw new MembershipChangeRefusedError(`"${memberId}" was removed; choose a new member id`);
  }
  const known = membership.find(memberId);
  if (known !== undefined && known.address !== address) {
    throw new MembershipChangeRefusedError(`"${memberId}" is a member at ${known.address}`);
  }
}

function requireMember(membership: Membership, memberId: string): Member {
  const member = membership.find(memberId);
  if (member !== undefined) return member;
  throw new MembershipChangeRefusedError(`"${memberId}" is no member`);
}

/** Takes changes at the leader, and passes them on elsewhere. */
export class MembershipChanger {
  constructor(
    private readonly state: MemberState,
    private readonly links: PeerLinks,
    private readonly proposals: PendingProposals,
  ) {}

  /**
   * Makes one change and waits until it is committed.
   *
   * @throws MembershipChangeRefusedError when nothing was changed.
   * @throws ProposalOutcomeUnknownError when it may have been.
   */
  async change(change: MembershipChange): Promise<void> {
    const { leadership, leaderId } = this.state;
    if (leadership !== undefined) await this.changeHere(change, leadership);
    else if (leaderId !== undefined) await this.forward(change, leaderId);
    else throw refuseForNow('no leader is known');
  }

  /** Answers a change that another member passed on. */
  async handleForwarded(request: RequestOf<'changeMembership'>): Promise<ResponseOf<'propose'>> {
    const answer = { index: 0, result: EMPTY_RESULT };
    try {
      const { leadership } = this.state;
      if (leadership === undefined) throw refuseForNow('not the leader');
      await this.changeHere({ ...request, action: request.action as MembershipAction }, leadership);
      return { ...answer, kind: OutcomeKind.Committed, reason: '' };
    } catch (error) {
      const reason = error instanceof MembershipChangeRefusedError ? error.reason : String(error);
      return { ...answer, kind: outcomeOf(error), reason: reason.slice(0, MAXIMUM_REASON_LENGTH) };
    }
  }

  private async forward(change: MembershipChange, leaderId: string): Promise<void> {
    const { timings } = this.state.dependencies;
    const timeout = timings.proposalTimeout + timings.catchUpTimeout;
    const link = this.links.find(leaderId);
    if (link === undefined) throw refuseForNow('the leader is not known here');
    let response: ResponseOf<'changeMembership'>;
    try {
      response = await link.request('changeMembership', { ...change }, timeout);
    } catch (error) {
      if (error instanceof PeerRequestError && !error.sent) throw refuseForNow(error.message);
      throw new ProposalOutcomeUnknownError(String(error), leaderId, error);
    }
    const { kind, reason } = response;
    if (kind === OutcomeKind.Committed.valueOf()) return;
    if (kind === OutcomeKind.NotProposed.valueOf()) throw refuseForNow(reason);
    if (kind === OutcomeKind.Rejected.valueOf()) throw new MembershipChangeRefusedError(reason);
    throw new ProposalOutcomeUnknownError(response.reason, leaderId);
  }

  private async changeHere(change: MembershipChange, leadership: Leadership): Promise<void> {
    if (change.action === MembershipAction.AddLearner) await this.addLearner(change, leadership);
    else if (change.action === MembershipAction.Promote) await this.promote(change, leadership);
    else if (change.action === MembershipAction.Remove)
      await this.remove(change.memberId, leadership);
    else throw new MembershipChangeRefusedError(`unknown action ${String(change.action)}`);
  }

  private async addLearner(change: MembershipChange, leadership: Leadership): Promise<void> {
    const { memberId, address } = change;
    refuseUsedId(this.state.membership, memberId, address);
    const incarnation = await this.askIncarnation(memberId, address);
    await this.removePredecessors(memberId, address, leadership);
    const learner = { memberId, address, incarnation, voter: false };
    await this.commit(leadership, (current) => {
      // Others may have changed the group while the new member was asked.
      refuseUsedId(current, memberId, address);
      const known = current.find(memberId);
      if (known === undefined) return current.withMember(learner);
      if (known.incarnation === incarnation) return current;
      throw new MembershipChangeRefusedError(`"${memberId}" is a member with another data folder`);
    });
  }

  /**
   * Removes the members whose data folders are lost: `memberId` has answered at their address with
   * another one. First, since a lost voter beside its successor would raise the number of votes
   * needed, beyond those of the other members should the successor lose its data folder too.
   */
  private async removePredecessors(
    memberId: string,
    address: string,
    leadership: Leadership,
  ): Promise<void> {
    for (const predecessor of this.state.membership.members) {
      if (predecessor.address !== address || predecessor.memberId === memberId) continue;
      await this.remove(predecessor.memberId, leadership);
      const { logger } = this.state.dependencies;
      logger.info('member with a lost data folder removed', {
        lost: predecessor.memberId,
        successor: memberId,
      });
    }
  }

  /** The data folder with which the new member will take part. */
  private async askIncarnation(memberId: string, address: string): Promise<string> {
    const { timings } = this.state.dependencies;
    let endpoint;
    try {
      endpoint = parseAddress(address);
    } catch (error) {
      throw new MembershipChangeRefusedError((error as Error).message);
    }
    const link = this.links.openApart({ memberId, address: endpoint });
    let response: ResponseOf<'bootstrap'>;
    try {
      response = await link.request('bootstrap', {}, timings.replicationTimeout);
    } catch (error) {
      throw refuseForNow(`"${memberId}" cannot be reached: ${String(error)}`);
    } finally {
      link.close();
    }
    const isMember = this.state.membership.find(memberId) !== undefined;
    if (response.bootstrapped && !isMember) {
      // Its records may be of another history, which nobody would compare.
      throw new MembershipChangeRefusedError(
        `"${memberId}" has a history already; start it with \`join: true\` and an empty data folder`,
      );
    }
    return response.incarnation;
  }

  private async promote(change: MembershipChange, leadership: Leadership): Promise<void> {
    const { memberId } = change;
    const { voter } = requireMember(this.state.membership, memberId);
    if (!voter) await this.waitForCatchUp(memberId, leadership);
    await this.commit(leadership, (current) => {
      const member = requireMember(current, memberId);
      return member.voter ? current : current.withMember({ ...member, voter: true });
    });
  }

  /** A voter that lags would count for the quorum and yet hold commits up. */
  private async waitForCatchUp(memberId: string, leadership: Leadership): Promise<void> {
    const { clock, timings, limits } = this.state.dependencies;
    const deadline = clock.now() + timings.catchUpTimeout;
    for (;;) {
      const progress = leadership.progressOf(memberId);
      const lag = this.state.log.lastIndex - (progress?.matchIndex ?? 0);
      const heard = clock.now() - (progress?.confirmedAt ?? -Infinity);
      if (lag <= limits.promotionLag && heard < timings.electionTimeoutMinimum) return;
      const rest = deadline - clock.now();
      if (rest <= 0 || leadership.signal.aborted) {
        throw refuseForNow(`"${memberId}" has not caught up: ${lag} records behind`);
      }
      await leadership.progressChanged.wait(rest);
    }
  }

  private async remove(memberId: string, leadership: Leadership): Promise<void> {
    await this.commit(leadership, (current) => {
      if (current.retiredIds.includes(memberId)) return current;
      requireMember(current, memberId);
      return current.withoutMember(memberId);
    });
  }

  /**
   * Writes the new membership and waits for it to be committed. `alter` sees the
   * membership that counts now, and gives it back unchanged when nothing is left to do.
   */
  private async commit(
    leadership: Leadership,
    alter: (current: Membership) => Membership,
  ): Promise<void> {
    const { state } = this;
    if (leadership.signal.aborted || leadership.transferring) throw refuseForNow('not the leader');
    // Until a record of this term is committed, a predecessor's change may
    // still come into force beside this one.
    if (state.commitIndex < leadership.openingIndex) throw refuseForNow('the term is just opening');
    if (state.log.memberships.latestIndex > state.commitIndex) {
      throw refuseForNow('another change of members is under way');
    }
    const next = alter(state.membership);
    if (next === state.membership) return;
    this.checkQuorum(next, leadership);
    const record = leadership.append(LogRecordKind.Membership, next.encode());
    state.roleChanged.notify();
    const { index, term } = record;
    state.dependencies.logger.info('members changed', { index, term, ...describeMembers(next) });
    await this.proposals.wait(record);
  }

  /** Refuses a change after which no majority would answer now. */
  private checkQuorum(next: Membership, leadership: Leadership): void {
    const { clock, timings, memberId } = this.state.dependencies;
    if (next.voters.length === 0) {
      throw new MembershipChangeRefusedError('the last voter cannot be removed');
    }
    const now = clock.now();
    const knownAt = next.quorumValue((id) =>
      id === memberId ? now : (leadership.progressOf(id)?.confirmedAt ?? -Infinity),
    );
    if (now - knownAt >= timings.electionTimeoutMinimum) {
      throw refuseForNow('without this member no majority would be live');
    }
  }
}
