/**
 * Linearizable reads by read index: the commit index at a leader that a quorum
 * confirms after the read began is at or after everything committed before it.
 */
import { describeLeaderlessTime, NoQuorumError } from './consensus-errors.js';
import type { Leadership } from './leadership.js';
import type { MemberState } from './member-state.js';
import type { ResponseOf } from './messages.js';
import type { PeerLinks } from './peer-links.js';

/** Read barriers of this process and read indexes for other members. */
export class Reader {
  constructor(
    private readonly state: MemberState,
    private readonly links: PeerLinks,
  ) {}

  /** See {@link ReplicatedLog.readBarrier}. */
  async readBarrier(): Promise<void> {
    const { state } = this;
    const { clock, timings } = state.dependencies;
    const deadline = clock.now() + timings.readTimeout;
    while (!state.signal.aborted && clock.now() < deadline) {
      if (state.isWithoutLeader) throw new NoQuorumError(describeLeaderlessTime(state));
      const index = await this.readIndex(deadline);
      if (index !== undefined && (await this.waitForApplied(index, deadline))) return;
      const wait = Math.min(timings.heartbeatInterval, deadline - clock.now());
      await state.roleChanged.wait(wait);
    }
    throw new NoQuorumError(state.signal.aborted ? 'this member stopped' : 'no leader confirmed');
  }

  /** Answers another member. */
  async handleReadIndex(): Promise<ResponseOf<'readIndex'>> {
    const { clock, timings } = this.state.dependencies;
    const index = await this.confirmHere(clock.now() + timings.readTimeout);
    return { confirmed: index !== undefined, index: index ?? 0 };
  }

  private async readIndex(deadline: number): Promise<number | undefined> {
    const { state } = this;
    if (state.leadership !== undefined) return this.confirmHere(deadline);
    if (state.leaderId === undefined) return undefined;
    const timeout = deadline - state.dependencies.clock.now();
    try {
      const link = this.links.find(state.leaderId);
      const response = await link?.request('readIndex', {}, timeout);
      return response?.confirmed === true ? response.index : undefined;
    } catch {
      return undefined;
    }
  }

  /** Undefined when this member does not lead, or no quorum confirms it in time. */
  private async confirmHere(deadline: number): Promise<number | undefined> {
    const { state } = this;
    const { leadership } = state;
    if (leadership === undefined) return undefined;
    // Before the record that opened the term is committed, the leader may not
    // know yet what its predecessors committed.
    const opened = await this.waitUntil(deadline, leadership, () => {
      return state.commitIndex >= leadership.openingIndex;
    });
    if (!opened) return undefined;
    const index = state.commitIndex;
    if (state.dependencies.faults.skipReadConfirmation === true) return index;
    const round = leadership.beginReadRound();
    const confirmed = await this.waitUntil(deadline, leadership, () => {
      return leadership.isRoundConfirmed(round);
    });
    return confirmed ? index : undefined;
  }

  private async waitUntil(
    deadline: number,
    leadership: Leadership,
    condition: () => boolean,
  ): Promise<boolean> {
    const { clock } = this.state.dependencies;
    while (!condition()) {
      const rest = deadline - clock.now();
      if (leadership.signal.aborted || rest <= 0) return false;
      await leadership.progressChanged.wait(rest);
    }
    return !leadership.signal.aborted;
  }

  private async waitForApplied(index: number, deadline: number): Promise<boolean> {
    const { state } = this;
    const { clock } = state.dependencies;
    while (state.appliedIndex < index) {
      const rest = deadline - clock.now();
      if (state.signal.aborted || rest <= 0) return false;
      await state.appliedChanged.wait(rest);
    }
    return true;
  }
}
