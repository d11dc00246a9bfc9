/**
 * The log as the protocol sees it: records since the last compaction in memory,
 * written to the durable log in batches. Changes to the durable log are made
 * under the member's lock only.
 */
import { LogRecordKind, RECORD_HEADER_BYTES, type LogRecord } from '../storage/log-record.js';
import type { LogPosition } from '../storage/log-recovery.js';
import type { SegmentedLog } from '../storage/segmented-log.js';
import { Membership } from './membership.js';
import { MembershipHistory } from './membership-history.js';

function storedSize(record: LogRecord | undefined): number {
  return record === undefined ? 0 : RECORD_HEADER_BYTES + record.payload.length;
}

/** Records from `base` (not included) to the last one. */
export class RaftLog {
  readonly memberships = new MembershipHistory();
  private durableIndex: number;
  private pendingBytes = 0;

  /**
   * @param records - what the durable log held.
   * @param snapshotIndex - memberships up to here are in the snapshot.
   */
  constructor(
    private readonly store: SegmentedLog,
    private base: LogPosition,
    private records: LogRecord[],
    snapshotIndex: number,
    snapshotMembership: Membership,
  ) {
    this.durableIndex = this.lastIndex;
    this.memberships.rebase(snapshotIndex, snapshotMembership);
    for (const record of records) {
      if (record.index > snapshotIndex) this.noteMembership(record);
    }
  }

  /** Index before the first record held. */
  get baseIndex(): number {
    return this.base.index;
  }

  get lastIndex(): number {
    return this.base.index + this.records.length;
  }

  get lastTerm(): number {
    return this.records.at(-1)?.term ?? this.base.term;
  }

  /** Last index that survives a crash. */
  get syncedIndex(): number {
    return this.durableIndex;
  }

  /** Size of the durable log on the disk. Bytes. */
  get storedBytes(): number {
    return this.store.bytes;
  }

  /** Size of the records that are not durable yet. Bytes. */
  get unstoredBytes(): number {
    return this.pendingBytes;
  }

  get(index: number): LogRecord | undefined {
    return this.records[index - this.base.index - 1];
  }

  /** The term of the record at `index`; undefined when it is not held. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.get(index)?.term;
  }

  /** The first index held of the term that the record at `index` has. */
  firstIndexOfTermAt(index: number): number {
    const term = this.termAt(index);
    let first = index;
    while (first - 1 > this.base.index && this.termAt(first - 1) === term) first -= 1;
    return first;
  }

  /** Records from `from` on, as many as fit `maximumBytes`, at least one when there is any. */
  slice(from: number, maximumBytes: number): LogRecord[] {
    const chosen: LogRecord[] = [];
    let bytes = 0;
    for (let index = from; index <= this.lastIndex; index += 1) {
      const record = this.get(index);
      if (record === undefined) break;
      bytes += record.payload.length + RECORD_HEADER_BYTES;
      if (chosen.length > 0 && bytes > maximumBytes) break;
      chosen.push(record);
    }
    return chosen;
  }

  /**
   * The index before the oldest of the records up to `index` that are kept: at most `maximumRecords`,
   * of `maximumBytes` together.
   */
  retainedFrom(index: number, maximumRecords: number, maximumBytes: number): number {
    let bytes = 0;
    let kept = index;
    while (kept > this.base.index && index - kept < maximumRecords) {
      bytes += storedSize(this.get(kept));
      if (bytes > maximumBytes) break;
      kept -= 1;
    }
    return kept;
  }

  /** Adds a leader's own record. Durable after {@link RaftLog.persist}. */
  append(term: number, kind: LogRecordKind, payload: Uint8Array): LogRecord {
    const record = { index: this.lastIndex + 1, term, kind, payload };
    this.push(record);
    return record;
  }

  /**
   * Takes over a leader's records, replacing those that conflict. Durable after
   * {@link RaftLog.persist}.
   *
   * @returns the first index that was replaced, or undefined.
   */
  merge(records: readonly LogRecord[]): number | undefined {
    let replacedFrom: number | undefined;
    for (const record of records) {
      if (record.index <= this.base.index) continue;
      if (this.termAt(record.index) === record.term) continue;
      if (record.index <= this.lastIndex) {
        this.truncateFrom(record.index);
        replacedFrom ??= record.index;
      }
      this.push(record);
    }
    return replacedFrom;
  }

  /** The first of `records` that conflicts with a record held, if any. */
  firstConflict(records: readonly LogRecord[]): number | undefined {
    const conflicting = records.find((record) => {
      const term = this.termAt(record.index);
      return record.index > this.base.index && term !== undefined && term !== record.term;
    });
    return conflicting?.index;
  }

  /** Writes and syncs everything that is not durable yet, in one batch. */
  async persist(): Promise<void> {
    const target = this.lastIndex;
    if (this.durableIndex >= target) return;
    const pending = this.records.slice(this.durableIndex - this.base.index);
    await this.store.append(pending);
    await this.store.sync();
    this.durableIndex = target;
    for (const record of pending) this.pendingBytes -= storedSize(record);
  }

  /** Drops records up to `index`, which a durable snapshot covers. */
  async compact(index: number): Promise<void> {
    const term = this.termAt(index);
    if (index <= this.base.index || term === undefined) return;
    // A quorum without this member may have committed what is not durable here.
    await this.persist();
    this.dropThrough({ index, term });
    await this.store.compact(index);
  }

  /** Like {@link RaftLog.compact} at the start: makes room on a disk that may be full before it writes. */
  async compactBeforeWriting(index: number): Promise<void> {
    const term = this.termAt(index);
    if (index <= this.base.index || term === undefined) return;
    this.dropThrough({ index, term });
    await this.store.compactBeforeWriting(index);
  }

  /** Forgets all records: a durable snapshot stands for everything up to `position`. */
  async reset(position: LogPosition): Promise<void> {
    await this.store.reset(position);
    this.base = position;
    this.records = [];
    this.pendingBytes = 0;
    this.durableIndex = position.index;
    this.memberships.truncateFrom(0);
  }

  async close(): Promise<void> {
    await this.store.close();
  }

  private dropThrough(position: LogPosition): void {
    this.records = this.records.slice(position.index - this.base.index);
    this.base = position;
  }

  private push(record: LogRecord): void {
    this.records.push(record);
    this.pendingBytes += storedSize(record);
    this.noteMembership(record);
  }

  private truncateFrom(index: number): void {
    const firstPending = Math.max(index, this.durableIndex + 1);
    for (let place = firstPending; place <= this.lastIndex; place += 1) {
      this.pendingBytes -= storedSize(this.get(place));
    }
    this.records.length = index - this.base.index - 1;
    this.durableIndex = Math.min(this.durableIndex, index - 1);
    this.memberships.truncateFrom(index);
  }

  private noteMembership(record: LogRecord): void {
    if (record.kind !== LogRecordKind.Membership) return;
    this.memberships.add(record.index, Membership.decode(record.payload));
  }
}
