/** Proposals of this member's leaderships whose fate is not settled yet. */
import type { LogRecord } from '../storage/log-record.js';
import type { Clock, Timer } from '../seams/clock.js';
import { NotProposedError, ProposalOutcomeUnknownError } from './consensus-errors.js';
import type { CommittedCommand } from './replicated-log.js';

interface PendingProposal {
  readonly term: number;
  readonly bytes: number;
  readonly timer: Timer;
  readonly resolve: (committed: CommittedCommand) => void;
  readonly reject: (error: Error) => void;
}

/** Settles each proposal by what is applied at its index. */
export class PendingProposals {
  /** By index; one index may hold proposals of several terms of leadership. */
  private readonly proposals = new Map<number, PendingProposal[]>();
  private bytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly timeout: number,
  ) {}

  /** Bytes of all proposals not settled yet. */
  get pendingBytes(): number {
    return this.bytes;
  }

  /**
   * Waits for the fate of a record of the log.
   *
   * @throws NotProposedError when another record was committed in its place.
   * @throws ProposalOutcomeUnknownError when the fate cannot be told in time.
   */
  wait(record: LogRecord): Promise<CommittedCommand> {
    const { index, term } = record;
    const bytes = record.payload.length;
    return new Promise((resolve, reject) => {
      const timer = this.clock.setTimer(this.timeout, () => {
        this.remove(index, proposal);
        reject(new ProposalOutcomeUnknownError(`not settled within ${this.timeout} ms`));
      });
      const proposal = { term, bytes, timer, resolve, reject };
      this.proposals.set(index, [...(this.proposals.get(index) ?? []), proposal]);
      this.bytes += bytes;
    });
  }

  /** The record is committed and was applied. */
  settle(record: LogRecord, result: Uint8Array): void {
    const { index, term } = record;
    for (const proposal of this.proposals.get(index) ?? []) {
      this.remove(index, proposal);
      // An index holds one committed record for good, so a proposal of another
      // term that stood there never will be committed.
      if (proposal.term === term) proposal.resolve({ index, result });
      else proposal.reject(new NotProposedError("another leader's record was committed instead"));
    }
  }

  /** A snapshot stands for everything up to `index`; which records it held is not known. */
  forgetThrough(index: number): void {
    this.forget(index, 'overtaken by a snapshot of another leader');
  }

  /** The member stops. */
  forgetAll(): void {
    this.forget(Infinity, 'this member stopped');
  }

  private forget(throughIndex: number, reason: string): void {
    for (const [index, proposals] of [...this.proposals]) {
      if (index > throughIndex) continue;
      for (const proposal of proposals) {
        this.remove(index, proposal);
        proposal.reject(new ProposalOutcomeUnknownError(reason));
      }
    }
  }

  private remove(index: number, proposal: PendingProposal): void {
    const others = (this.proposals.get(index) ?? []).filter((other) => other !== proposal);
    if (others.length === 0) this.proposals.delete(index);
    else this.proposals.set(index, others);
    this.bytes -= proposal.bytes;
    proposal.timer.cancel();
  }
}
