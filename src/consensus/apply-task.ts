/** Applies committed records in order, and takes snapshots. */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import { DriftwayError } from '../errors/driftway-error.js';
import { LogRecordKind, type LogRecord } from '../storage/log-record.js';
import type { MemberState } from './member-state.js';
import type { PendingProposals } from './pending-proposals.js';
import { stopOnDiskError } from './record-writer.js';

const EMPTY_RESULT = new Uint8Array(0);

/** The applying task of one member. */
export class ApplyTask {
  /** Emits the applied index each time it grows. */
  readonly applied: Stream<number>;
  private readonly emitApplied: (index: number) => void;
  private bytesSinceSnapshot = 0;
  private snapshotUnderWay: Promise<void> | undefined;

  constructor(
    private readonly state: MemberState,
    private readonly proposals: PendingProposals,
  ) {
    [this.emitApplied, this.applied] = createAdapter<number>();
  }

  /** Runs until the member stops. */
  async run(): Promise<void> {
    const { state } = this;
    while (!state.signal.aborted) {
      const applied = this.applyCommitted();
      if (applied) this.announce();
      this.snapshotWhenDue();
      await state.commitChanged.wait(Infinity);
    }
  }

  /** A snapshot of the leader took the place of everything up to `index`. */
  onSnapshotInstalled(index: number): void {
    this.bytesSinceSnapshot = 0;
    this.proposals.forgetThrough(index);
    this.announce();
  }

  /** Resolves once no snapshot is being written. */
  async settled(): Promise<void> {
    await this.snapshotUnderWay;
  }

  private applyCommitted(): boolean {
    const { state } = this;
    let applied = false;
    while (state.appliedIndex < state.commitIndex && !state.signal.aborted) {
      const record = state.log.get(state.appliedIndex + 1);
      if (record === undefined) return applied;
      if (!this.applyOne(record)) return applied;
      applied = true;
    }
    return applied;
  }

  private applyOne(record: LogRecord): boolean {
    const { state } = this;
    let result: Uint8Array = EMPTY_RESULT;
    try {
      if (record.kind === LogRecordKind.Command) {
        result = state.dependencies.stateMachine.apply(record.payload, record.index);
      }
    } catch (error) {
      const message = `record ${record.index}: ${String(error)}`;
      state.fail(new DriftwayError(message, { step: 'apply command', cause: error }));
      return false;
    }
    state.appliedIndex = record.index;
    this.bytesSinceSnapshot += record.payload.length;
    this.proposals.settle(record, result);
    return true;
  }

  private announce(): void {
    const { state } = this;
    state.dependencies.metrics.appliedIndex.set(state.appliedIndex);
    state.appliedChanged.notify();
    this.emitApplied(state.appliedIndex);
  }

  private snapshotWhenDue(): void {
    const { state } = this;
    const { limits, storage } = state.dependencies;
    if (this.snapshotUnderWay !== undefined || state.signal.aborted) return;
    const records = state.appliedIndex - (storage.snapshot?.index ?? 0);
    const { snapshotEveryBytes } = storage.logLimits;
    const due =
      records >= limits.snapshotEveryRecords || this.bytesSinceSnapshot >= snapshotEveryBytes;
    if (!due || records === 0) return;
    state.isSnapshotUnderWay = true;
    this.snapshotUnderWay = this.takeSnapshot().then(() => {
      this.snapshotUnderWay = undefined;
      state.isSnapshotUnderWay = false;
      state.logCompacted.notify();
      // While commands are refused because the log is full, no commit triggers the next check.
      this.snapshotWhenDue();
    });
  }

  /** Records go on being applied meanwhile; never throws. */
  private async takeSnapshot(): Promise<void> {
    const { state } = this;
    const { storage, stateMachine, limits, metrics, logger } = state.dependencies;
    const index = state.appliedIndex;
    const term = state.log.termAt(index);
    if (term === undefined) return;
    this.bytesSinceSnapshot = 0;
    try {
      const data = stateMachine.snapshot();
      const membership = state.log.memberships.at(index);
      const snapshot = { index, term, membership: membership.encode(), data };
      await stopOnDiskError(state, () => storage.saveSnapshot(snapshot));
      await state.runExclusive(async () => {
        if (state.signal.aborted) return;
        state.log.memberships.rebase(index, membership);
        const { retainedBytes } = storage.logLimits;
        const keptFrom = state.log.retainedFrom(index, limits.retainedRecords, retainedBytes);
        await stopOnDiskError(state, () => state.log.compact(keptFrom));
      });
      metrics.snapshotsTaken.inc();
      metrics.snapshotBytes.set(data.length);
      const logBytes = state.log.storedBytes;
      logger.info('snapshot taken', { index, snapshotBytes: data.length, logBytes });
    } catch {
      // Only a disk error gets here, and it has stopped the member.
    }
  }
}
