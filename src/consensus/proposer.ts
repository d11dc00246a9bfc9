/** Proposes commands: here when this member leads, through the leader otherwise. */
import { ErrorLabel } from '../errors/driftway-error.js';
import { LogRecordKind } from '../storage/log-record.js';
import {
  CALLER_GONE_REASON,
  describeLeaderlessTime,
  NotProposedError,
  PeerRequestError,
  ProposalOutcomeUnknownError,
} from './consensus-errors.js';
import type { MemberState } from './member-state.js';
import type { ResponseOf } from './messages.js';
import { OutcomeKind } from './outcome-kind.js';
import type { PeerLinks } from './peer-links.js';
import type { PendingProposals } from './pending-proposals.js';
import type { CommittedCommand } from './replicated-log.js';

const EMPTY_RESULT = new Uint8Array(0);

/** Takes proposals of this process and of other members. */
export class Proposer {
  constructor(
    private readonly state: MemberState,
    private readonly links: PeerLinks,
    private readonly proposals: PendingProposals,
  ) {}

  /** See {@link ReplicatedLog.propose}. */
  async propose(command: Uint8Array, caller?: AbortSignal): Promise<CommittedCommand> {
    const { metrics } = this.state.dependencies;
    try {
      const committed = await this.proposeAnywhere(command, caller);
      metrics.proposals.inc({ outcome: OutcomeKind.Committed });
      return committed;
    } catch (error) {
      const notProposed = error instanceof NotProposedError;
      const outcome = notProposed ? OutcomeKind.NotProposed : OutcomeKind.Unknown;
      metrics.proposals.inc({ outcome });
      throw error;
    }
  }

  /** Answers a proposal that another member forwarded. Never forwards it again. */
  async handleForwarded(command: Uint8Array): Promise<ResponseOf<'propose'>> {
    try {
      const committed = await this.proposeHere(command);
      return { kind: OutcomeKind.Committed, ...committed, reason: '' };
    } catch (error) {
      const notProposed = error instanceof NotProposedError;
      return {
        kind: notProposed ? OutcomeKind.NotProposed : OutcomeKind.Unknown,
        index: 0,
        result: EMPTY_RESULT,
        reason: error instanceof Error ? error.message.slice(0, 256) : '',
      };
    }
  }

  /** Proposes here or at the leader; tries again for as long as nothing was proposed. */
  private async proposeAnywhere(
    command: Uint8Array,
    caller: AbortSignal | undefined,
  ): Promise<CommittedCommand> {
    const { state } = this;
    const { clock, timings } = state.dependencies;
    this.checkSize(command);
    const deadline = clock.now() + timings.proposalTimeout;
    let reason = 'no leader is known';
    while (!state.signal.aborted && clock.now() < deadline) {
      if (caller?.aborted === true) throw new NotProposedError(CALLER_GONE_REASON);
      if (state.isWithoutLeader) throw new NotProposedError(describeLeaderlessTime(state));
      try {
        if (state.leadership !== undefined) return await this.proposeHere(command);
        const { leaderId } = state;
        if (leaderId !== undefined) return await this.forward(command, leaderId, deadline);
      } catch (error) {
        if (!(error instanceof NotProposedError)) throw error;
        reason = error.message;
      }
      const wait = Math.min(timings.heartbeatInterval, deadline - clock.now());
      await state.roleChanged.wait(wait);
    }
    throw new NotProposedError(state.signal.aborted ? 'this member stopped' : reason);
  }

  private checkSize(command: Uint8Array): void {
    const { maximumCommandBytes } = this.state.dependencies.limits;
    if (command.length <= maximumCommandBytes) return;
    const message = `command of ${command.length} bytes; at most ${maximumCommandBytes}`;
    throw new NotProposedError(message, undefined, ErrorLabel.BadInput);
  }

  private async proposeHere(command: Uint8Array): Promise<CommittedCommand> {
    const { state } = this;
    this.checkSize(command);
    const { leadership } = state;
    if (leadership === undefined) throw new NotProposedError('not the leader', state.memberId);
    if (leadership.transferring) throw new NotProposedError('leadership is being handed over');
    this.checkRoom(command);
    return this.proposals.wait(leadership.append(LogRecordKind.Command, command));
  }

  /** A leader with a slow disk goes on committing by the others, so its log needs a bound of its own. */
  private checkRoom(command: Uint8Array): void {
    const { log, dependencies } = this.state;
    const { maximumBytes, maximumUncommittedBytes } = dependencies.storage.logLimits;
    const pendingBytes = this.proposals.pendingBytes + command.length;
    if (pendingBytes > maximumUncommittedBytes) {
      throw new NotProposedError('too much is waiting to be committed');
    }
    if (log.storedBytes + log.unstoredBytes + command.length <= maximumBytes) return;
    const message = `the log has no room before the next snapshot; at most ${maximumBytes} bytes`;
    throw new NotProposedError(message);
  }

  private async forward(
    command: Uint8Array,
    leaderId: string,
    deadline: number,
  ): Promise<CommittedCommand> {
    const { clock } = this.state.dependencies;
    const link = this.links.find(leaderId);
    if (link === undefined) throw new NotProposedError('the leader is not known here', leaderId);
    const response = await this.request(link, command, deadline - clock.now());
    if (response.kind === OutcomeKind.NotProposed.valueOf()) {
      throw new NotProposedError(response.reason, leaderId);
    }
    if (response.kind !== OutcomeKind.Committed.valueOf()) {
      throw new ProposalOutcomeUnknownError(response.reason, leaderId);
    }
    await this.waitForApplied(response.index, deadline);
    return { index: response.index, result: response.result };
  }

  private async request(
    link: NonNullable<ReturnType<PeerLinks['find']>>,
    command: Uint8Array,
    timeout: number,
  ): Promise<ResponseOf<'propose'>> {
    try {
      return await link.request('propose', { command: Buffer.from(command) }, timeout);
    } catch (error) {
      if (error instanceof PeerRequestError && !error.sent) {
        throw new NotProposedError(error.message, link.peerId);
      }
      throw new ProposalOutcomeUnknownError(String(error), link.peerId, error);
    }
  }

  private async waitForApplied(index: number, deadline: number): Promise<void> {
    const { state } = this;
    const { clock } = state.dependencies;
    while (state.appliedIndex < index) {
      if (state.signal.aborted || clock.now() >= deadline) {
        throw new ProposalOutcomeUnknownError(`committed at ${index} but not applied here in time`);
      }
      await state.appliedChanged.wait(deadline - clock.now());
    }
  }
}
