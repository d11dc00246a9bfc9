/** Takes over a leader's snapshot, chunk by chunk. */
import type { MemberState } from './member-state.js';
import { Membership } from './membership.js';
import type { RequestOf, ResponseOf } from './messages.js';
import { stopOnDiskError } from './record-writer.js';

/** A snapshot of which some chunks have come. */
interface PartialSnapshot {
  readonly leaderId: string;
  readonly term: number;
  readonly index: number;
  readonly chunks: Uint8Array[];
  receivedBytes: number;
}

/** Receives snapshots; one at a time. */
export class SnapshotHandler {
  private partial: PartialSnapshot | undefined;

  constructor(
    private readonly state: MemberState,
    /** Called once a snapshot took the place of everything up to its index. */
    private readonly onInstalled: (index: number) => void,
  ) {}

  /** Takes one chunk; answers the last one once the snapshot is durable and in force. */
  async handle(request: RequestOf<'snapshot'>): Promise<ResponseOf<'snapshot'>> {
    return this.state.runExclusive(() => this.accept(request));
  }

  private async accept(request: RequestOf<'snapshot'>): Promise<ResponseOf<'snapshot'>> {
    const { state } = this;
    if (request.term < state.term) return this.answer(0, false);
    await stopOnDiskError(state, () => state.adoptTerm(request.term));
    state.hearLeader(request.leaderId);
    if (state.bootstrapped && request.index <= state.commitIndex) {
      return this.answer(request.totalBytes, true);
    }
    const partial = this.collect(request);
    if (partial.receivedBytes < request.totalBytes) {
      return this.answer(partial.receivedBytes, false);
    }
    this.partial = undefined;
    await this.install(request, Buffer.concat(partial.chunks));
    state.hearLeader(request.leaderId);
    return this.answer(request.totalBytes, true);
  }

  /** Adds the chunk if it is the next one; a first chunk begins afresh. */
  private collect(request: RequestOf<'snapshot'>): PartialSnapshot {
    const { leaderId, term, index, offset, data, totalBytes } = request;
    const { maximumSnapshotBytes } = this.state.dependencies.limits;
    if (totalBytes > maximumSnapshotBytes) throw new RangeError('snapshot too long');
    const held = this.partial;
    const continues =
      held?.leaderId === leaderId && held.term === term && held.index === index && offset > 0;
    const partial = continues ? held : { leaderId, term, index, chunks: [], receivedBytes: 0 };
    this.partial = partial;
    if (offset !== partial.receivedBytes) return partial;
    if (offset + data.length > totalBytes) throw new RangeError('chunk beyond the snapshot');
    partial.chunks.push(data);
    partial.receivedBytes += data.length;
    return partial;
  }

  private async install(request: RequestOf<'snapshot'>, data: Uint8Array): Promise<void> {
    const { state } = this;
    const { storage, stateMachine, metrics, logger } = state.dependencies;
    const { index, snapshotTerm: term } = request;
    const membership = Membership.decode(request.membership);
    await stopOnDiskError(state, async () => {
      await storage.saveSnapshot({ index, term, membership: request.membership, data });
      if (state.log.termAt(index) !== term) await state.log.reset({ index, term });
    });
    state.log.memberships.rebase(index, membership);
    if (index > 0) stateMachine.restore(data);
    state.appliedIndex = Math.max(state.appliedIndex, index);
    state.verifiedIndex = Math.max(state.verifiedIndex, index);
    state.advanceCommit(index);
    metrics.snapshotsInstalled.inc();
    logger.info('snapshot installed', { index, bytes: data.length });
    this.onInstalled(index);
    state.roleChanged.notify();
  }

  private answer(nextOffset: number, installed: boolean): ResponseOf<'snapshot'> {
    return { term: this.state.term, nextOffset, installed };
  }
}
