/**
 * Begins a new group. A member with an empty data folder cannot tell whether
 * the group is new or whether it lost its disk, so it takes no part before
 * every other initial member has shown either that it has no history as yet,
 * or that its history began with exactly this data folder.
 */
import { formatAddress } from '../seams/address.js';
import type { MemberEndpoint } from './member-endpoint.js';
import type { MemberState } from './member-state.js';
import { Membership, type Member } from './membership.js';
import type { ResponseOf } from './messages.js';
import type { PeerLinks } from './peer-links.js';
import { stopOnDiskError } from './record-writer.js';

const EMPTY_BYTES = new Uint8Array(0);

/** Settles with which members a history begins. */
export class BootstrapTask {
  constructor(
    private readonly state: MemberState,
    private readonly links: PeerLinks,
    private readonly initialMembers: readonly MemberEndpoint[],
  ) {}

  /** Runs until this member has a history. */
  async run(): Promise<void> {
    const { state } = this;
    const { logger, timings, memberId } = state.dependencies;
    const others = this.initialMembers.filter((member) => member.memberId !== memberId);
    if (others.length > 0) logger.info('waiting for the other initial members');
    while (!state.signal.aborted && !state.bootstrapped) {
      const membership = await this.askAll(others);
      if (membership !== undefined) await this.begin(membership);
      else await state.roleChanged.wait(timings.redialInterval);
    }
  }

  /** Answers another member that has no history as yet. */
  handleRequest(): ResponseOf<'bootstrap'> {
    const { snapshot } = this.state.dependencies.storage;
    const beganHere = snapshot?.index === 0;
    return {
      incarnation: this.state.incarnation,
      bootstrapped: snapshot !== undefined,
      initialMembership: beganHere ? Buffer.from(snapshot.membership) : EMPTY_BYTES,
    };
  }

  /** The members to begin with, or undefined while that is not safe. */
  private async askAll(others: readonly MemberEndpoint[]): Promise<Membership | undefined> {
    const answers = await Promise.all(others.map((member) => this.ask(member)));
    const members: Member[] = [];
    for (const member of this.initialMembers) {
      const place = others.indexOf(member);
      const answer = answers[place];
      if (place >= 0 && answer === undefined) continue;
      if (answer?.bootstrapped === true) return this.adopt(answer);
      members.push({
        memberId: member.memberId,
        address: formatAddress(member.address),
        incarnation: answer?.incarnation ?? this.state.incarnation,
        voter: true,
      });
    }
    const complete = members.length === this.initialMembers.length;
    return complete ? new Membership(members, []) : undefined;
  }

  private async ask(member: MemberEndpoint): Promise<ResponseOf<'bootstrap'> | undefined> {
    const { timings } = this.state.dependencies;
    try {
      const link = this.links.find(member.memberId);
      return await link?.request('bootstrap', {}, timings.electionTimeoutMinimum);
    } catch {
      return undefined;
    }
  }

  /**
   * Takes part in a history that others began, if it began with this very data
   * folder: as this folder never answered anything yet, its vote is unused.
   */
  private adopt(answer: ResponseOf<'bootstrap'>): Membership | undefined {
    const { memberId, faults } = this.state.dependencies;
    const membership = Membership.decode(answer.initialMembership);
    const known = membership.find(memberId);
    if (known === undefined) return undefined;
    const sameFolder = known.incarnation === this.state.incarnation;
    return sameFolder || faults.ignoreIncarnation === true ? membership : undefined;
  }

  private async begin(membership: Membership): Promise<void> {
    const { state } = this;
    const { storage, logger } = state.dependencies;
    await state.runExclusive(async () => {
      if (state.bootstrapped || state.signal.aborted) return;
      await stopOnDiskError(state, () => storage.bootstrap(membership));
      logger.info('history begun', { members: membership.members.length });
    });
    state.electionTimerStart = state.dependencies.clock.now();
    state.roleChanged.notify();
  }
}
