/**
 * The durable log: records appended to numbered segment files. Nothing on disk
 * is ever overwritten or cut except a torn tail; a record whose index is not
 * beyond the last one replaces that one and all after it when the log is read
 * back. A manifest says which segments count, so that dropping old segments
 * and starting afresh are each one durable step.
 */
import type { AppendFile, Disk } from '../seams/disk.js';
import { DamagedStorageError } from './damaged-storage-error.js';
import { loadManifest, saveManifest, type LogManifest } from './log-manifest.js';
import { encodeRecord, LogRecordKind, RECORD_HEADER_BYTES, type LogRecord } from './log-record.js';
import { recoverSegments, type LogPosition, type RecoveredLog } from './log-recovery.js';
import { LOG_DIRECTORY, parseSegmentName, segmentPath } from './segment-name.js';

/** Size at which a segment is closed and the next one begun. Bytes. */
export const DEFAULT_SEGMENT_BYTES = 16 * 1024 * 1024;

const EMPTY_PAYLOAD = new Uint8Array(0);

/** A segment that is no longer written. */
interface SealedSegment {
  readonly sequence: number;
  /** Highest index that any of its records has. */
  readonly highestIndex: number;
  /** Bytes. */
  readonly size: number;
}

/** A process that starts again on a full disk would run out of descriptors. */
async function closeOnFailure(file: AppendFile, operation: () => Promise<void>): Promise<void> {
  try {
    await operation();
  } catch (error) {
    await file.close().catch(() => undefined);
    throw error;
  }
}

/** One log in one data folder. Callers do not overlap calls. */
export class SegmentedLog {
  private syncedOffset = 0;
  private sealed: SealedSegment[] = [];

  private constructor(
    private readonly disk: Disk,
    private readonly segmentBytes: number,
    private manifest: LogManifest,
    private file: AppendFile,
    private position: LogPosition,
    private highestIndex: number,
  ) {
    this.syncedOffset = file.size;
  }

  /**
   * Opens the log, cutting a torn tail.
   *
   * @param coveredIndex - records up to here are in a durable snapshot; their segments may be gone.
   * @throws DamagedStorageError when other records that had been durable are gone.
   */
  static async open(
    disk: Disk,
    segmentBytes = DEFAULT_SEGMENT_BYTES,
    coveredIndex = 0,
  ): Promise<{ log: SegmentedLog; recovered: RecoveredLog }> {
    await disk.createDirectory(LOG_DIRECTORY);
    const manifest = (await loadManifest(disk, LOG_DIRECTORY)) ?? (await SegmentedLog.begin(disk));
    const recovered = await recoverSegments(disk, manifest, coveredIndex);
    const file = await disk.openAppend(segmentPath(manifest.last));
    await closeOnFailure(file, async () => {
      if (file.size > recovered.lastSegmentBytes) await file.truncate(recovered.lastSegmentBytes);
      // Also after a clean read: what was read may not have been synced yet.
      await file.sync();
    });
    const { position } = recovered;
    const log = new SegmentedLog(disk, segmentBytes, manifest, file, position, position.index);
    log.sealed = [...recovered.sealed];
    return { log, recovered };
  }

  /** Makes the first segment of a new log. */
  private static async begin(disk: Disk): Promise<LogManifest> {
    const manifest = { first: 1, last: 1 };
    await SegmentedLog.refuseWithoutManifest(disk);
    const file = await SegmentedLog.createSegment(disk, 1, { index: 0, term: 0 });
    await file.close();
    await saveManifest(disk, LOG_DIRECTORY, manifest);
    return manifest;
  }

  /** A lost manifest must not pass for a new log. */
  private static async refuseWithoutManifest(disk: Disk): Promise<void> {
    for (const name of await disk.list(LOG_DIRECTORY)) {
      const sequence = parseSegmentName(name);
      if (sequence === undefined) continue;
      const bytes = await disk.read(segmentPath(sequence));
      if (sequence > 1 || (bytes?.length ?? 0) > RECORD_HEADER_BYTES) {
        throw new DamagedStorageError(`${LOG_DIRECTORY}/manifest`, 0, 'missing beside segments');
      }
    }
  }

  private static async createSegment(
    disk: Disk,
    sequence: number,
    previous: LogPosition,
  ): Promise<AppendFile> {
    const file = await disk.openAppend(segmentPath(sequence));
    const start = { ...previous, kind: LogRecordKind.SegmentStart, payload: EMPTY_PAYLOAD };
    await closeOnFailure(file, async () => {
      if (file.size > 0) await file.truncate(0);
      await file.append(encodeRecord(start, 0));
      await file.sync();
      await disk.syncDirectory(LOG_DIRECTORY);
    });
    return file;
  }

  /** Size of all segments on the disk. Bytes. */
  get bytes(): number {
    return this.sealed.reduce((sum, { size }) => sum + size, this.file.size);
  }

  /** Adds records. Not durable before {@link SegmentedLog.sync}. */
  async append(records: readonly LogRecord[]): Promise<void> {
    let rest = records;
    while (rest.length > 0) {
      if (this.file.size >= this.segmentBytes) await this.roll();
      const count = this.countThatFit(rest);
      await this.appendToSegment(rest.slice(0, count));
      rest = rest.slice(count);
    }
  }

  /**
   * Makes all appended records durable. After a failure the log is unusable until it is opened again.
   * The records concerned are cut off: later syncs may succeed without them.
   */
  async sync(): Promise<void> {
    const size = this.file.size;
    try {
      await this.file.sync();
    } catch (error) {
      await this.file.truncate(this.syncedOffset).catch(() => undefined);
      throw error;
    }
    this.syncedOffset = size;
  }

  /** Forgets everything: the next record is the one after `position`. */
  async reset(position: LogPosition): Promise<void> {
    const sequence = this.manifest.last + 1;
    await this.startSegment(sequence, position, sequence);
    const obsolete = this.sealed;
    this.sealed = [];
    this.highestIndex = position.index;
    await this.removeSegments(obsolete);
  }

  /** Drops segments whose records all lie at or before `index`. */
  async compact(index: number): Promise<void> {
    const obsolete = this.takeObsolete(index);
    if (obsolete.length === 0) return;
    await this.replaceManifest(this.currentManifest());
    await this.removeSegments(obsolete);
  }

  /**
   * Drops segments like {@link SegmentedLog.compact}, but frees their space before it writes: on a
   * full disk nothing can be written until something is gone. A stop in between leaves a manifest
   * that counts missing segments, which {@link SegmentedLog.open} accepts up to `coveredIndex`.
   */
  async compactBeforeWriting(index: number): Promise<void> {
    const obsolete = this.takeObsolete(index);
    if (obsolete.length === 0) return;
    await this.removeSegments(obsolete);
    await this.disk.syncDirectory(LOG_DIRECTORY);
    await this.replaceManifest(this.currentManifest());
  }

  async close(): Promise<void> {
    await this.file.close();
  }

  /** How many of `records` the segment takes until it has its size; at least one. */
  private countThatFit(records: readonly LogRecord[]): number {
    let size = this.file.size;
    const place = records.findIndex(({ payload }) => {
      size += RECORD_HEADER_BYTES + payload.length;
      return size >= this.segmentBytes;
    });
    return place < 0 ? records.length : place + 1;
  }

  private async appendToSegment(records: readonly LogRecord[]): Promise<void> {
    const encoded = records.map((record) => encodeRecord(record, this.syncedOffset));
    await this.file.append(Buffer.concat(encoded));
    const { index, term } = records.at(-1) ?? this.position;
    this.position = { index, term };
    this.highestIndex = Math.max(this.highestIndex, index);
  }

  private async roll(): Promise<void> {
    await this.sync();
    await this.startSegment(this.manifest.last + 1, this.position, this.manifest.first);
  }

  private async startSegment(
    sequence: number,
    previous: LogPosition,
    first: number,
  ): Promise<void> {
    const file = await SegmentedLog.createSegment(this.disk, sequence, previous);
    await this.file.close();
    const { highestIndex } = this;
    this.sealed.push({ sequence: this.manifest.last, highestIndex, size: this.file.size });
    this.file = file;
    this.syncedOffset = file.size;
    this.position = previous;
    this.highestIndex = previous.index;
    await this.replaceManifest({ first, last: sequence });
  }

  /** Takes the segments out of the list whose records all lie at or before `index`. */
  private takeObsolete(index: number): readonly SealedSegment[] {
    const keepFrom = this.sealed.findIndex((segment) => segment.highestIndex > index);
    const obsolete = keepFrom < 0 ? this.sealed : this.sealed.slice(0, keepFrom);
    this.sealed = this.sealed.slice(obsolete.length);
    return obsolete;
  }

  private currentManifest(): LogManifest {
    const { last } = this.manifest;
    return { first: this.sealed[0]?.sequence ?? last, last };
  }

  private async replaceManifest(manifest: LogManifest): Promise<void> {
    await saveManifest(this.disk, LOG_DIRECTORY, manifest);
    this.manifest = manifest;
  }

  private async removeSegments(segments: readonly SealedSegment[]): Promise<void> {
    for (const { sequence } of segments) await this.disk.remove(segmentPath(sequence));
  }
}
