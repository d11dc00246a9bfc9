/**
 * Stands for election after a silence of the leader. First asks whether the
 * votes would be given (pre-vote), so that a member that was cut off does not
 * raise the term and unseat a leader that the others hear.
 */
import { Leadership } from './leadership.js';
import type { MemberState } from './member-state.js';
import type { RequestOf } from './messages.js';
import type { PeerLinks } from './peer-links.js';
import { stopOnDiskError } from './record-writer.js';

/** Longest part of a member's life, in election timeouts, in which it may stand early. */
const EARLY_TIMEOUTS = 3;

/** The election task of one member. */
export class ElectionTask {
  private readonly startedAt: number;
  /** It heard a leader, or stood for election, since its start. */
  private isSettled = false;

  constructor(
    private readonly state: MemberState,
    private readonly links: PeerLinks,
  ) {
    this.startedAt = state.dependencies.clock.now();
  }

  /** Runs until the member stops. */
  async run(): Promise<void> {
    const { state } = this;
    this.openLinks();
    while (!state.signal.aborted) {
      if (!this.mayStand()) {
        await state.roleChanged.wait(Infinity);
        continue;
      }
      const asked = await this.waitForSilence();
      if (state.signal.aborted || !this.mayStand()) continue;
      try {
        if (asked || (await this.askVotes(state.term + 1, true, false))) await this.stand(asked);
      } catch {
        // Only a disk error gets here, and it has stopped the member.
      }
      state.electionTimerStart = state.dependencies.clock.now();
    }
  }

  /** So that the first votes after a start need not wait for connections. */
  private openLinks(): void {
    const { membership, memberId } = this.state;
    for (const member of membership.voters) {
      if (member.memberId !== memberId) this.links.find(member.memberId)?.open();
    }
  }

  private mayStand(): boolean {
    const { state } = this;
    const isVoter = state.membership.isVoter(state.memberId);
    return state.bootstrapped && isVoter && state.leadership === undefined;
  }

  /**
   * Soon after a start, possibly a fraction of an election timeout: a member whose
   * group has a leader gets no pre-vote, and one whose group has just started as a
   * whole need not wait for a leader that cannot be there. The same after a
   * pre-vote that failed since others were not back yet; a pre-vote unseats nobody.
   */
  private nextTimeout(): number {
    const { random, timings } = this.state.dependencies;
    const { electionTimeoutMinimum, electionTimeoutMaximum, firstElectionPart } = timings;
    const part = this.isEarly() ? firstElectionPart : 1;
    return random.nextInteger(
      Math.floor(electionTimeoutMinimum * part),
      Math.floor(electionTimeoutMaximum * part),
    );
  }

  private isEarly(): boolean {
    const { clock, timings } = this.state.dependencies;
    const age = clock.now() - this.startedAt;
    this.isSettled ||= this.state.leaderId !== undefined;
    return !this.isSettled && age < EARLY_TIMEOUTS * timings.electionTimeoutMaximum;
  }

  /** Waits out one election timeout of silence. True when the leader asked to stand at once. */
  private async waitForSilence(): Promise<boolean> {
    const { state } = this;
    const { clock } = state.dependencies;
    const timeout = this.nextTimeout();
    for (;;) {
      if (state.transferTerm === state.term) {
        state.transferTerm = undefined;
        return true;
      }
      const rest = state.electionTimerStart + timeout - clock.now();
      if (rest <= 0 || state.signal.aborted || !this.mayStand()) return false;
      await state.roleChanged.wait(rest);
    }
  }

  /** Raises the term, votes for itself, asks the others, and leads when a majority agrees. */
  private async stand(transfer: boolean): Promise<void> {
    const { state } = this;
    const { clock, metrics, logger } = state.dependencies;
    this.isSettled = true;
    const term = await state.runExclusive(() => this.enterTerm());
    if (term === undefined) return;
    metrics.elections.inc();
    const startedAt = clock.now();
    const won = await this.askVotes(term, false, transfer);
    if (!won || state.term !== term || state.role !== 'candidate') {
      if (state.role === 'candidate') state.becomeFollower(undefined, 'election lost');
      return;
    }
    metrics.leadershipsWon.inc();
    logger.info('leadership won', { term });
    state.role = 'leader';
    state.leaderId = state.memberId;
    state.leadership = new Leadership(state, this.links, term, startedAt);
    state.leadership.start();
    state.roleChanged.notify();
  }

  /** Undefined when a leader was heard meanwhile. */
  private async enterTerm(): Promise<number | undefined> {
    const { state } = this;
    if (state.signal.aborted || !this.mayStand()) return undefined;
    const term = state.term + 1;
    await stopOnDiskError(state, () => state.recordVote(term, state.memberId));
    if (state.signal.aborted) return undefined;
    state.role = 'candidate';
    state.leaderId = undefined;
    state.roleChanged.notify();
    return term;
  }

  /** True once a majority, this member included, grants the vote; false after an election timeout. */
  private askVotes(term: number, preVote: boolean, transfer: boolean): Promise<boolean> {
    const { state } = this;
    const { membership, memberId } = state;
    const others = membership.voters.filter((member) => member.memberId !== memberId);
    const request = {
      term,
      candidateId: memberId,
      lastIndex: state.log.lastIndex,
      lastTerm: state.log.lastTerm,
      preVote,
      transfer,
    };
    return new Promise((resolve) => {
      let granted = 1;
      let outstanding = others.length;
      const { clock, timings } = state.dependencies;
      const end = (isWon: boolean): void => {
        timer.cancel();
        resolve(isWon);
      };
      const timer = clock.setTimer(timings.electionTimeoutMinimum, () => end(false), {
        afterReading: true,
      });
      const settle = (): void => {
        if (granted >= membership.quorum) end(true);
        else if (outstanding === 0) end(false);
      };
      settle();
      for (const member of others) {
        void this.askVote(member.memberId, request).then((vote) => {
          outstanding -= 1;
          if (vote) granted += 1;
          settle();
        });
      }
    });
  }

  private async askVote(peerId: string, request: RequestOf<'vote'>): Promise<boolean> {
    const { state } = this;
    const { timings } = state.dependencies;
    try {
      const link = this.links.find(peerId);
      if (link === undefined) return false;
      const response = await link.request('vote', request, timings.electionTimeoutMinimum);
      if (response.term > state.term) {
        await state.runExclusive(() => state.adoptTerm(response.term));
      }
      return response.granted;
    } catch {
      return false;
    }
  }
}
