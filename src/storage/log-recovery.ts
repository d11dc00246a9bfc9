/** Reads the segments of a log back into the records that stand. */
import type { Disk } from '../seams/disk.js';
import { DamagedStorageError } from './damaged-storage-error.js';
import type { LogManifest } from './log-manifest.js';
import { LogRecordKind, type LogRecord } from './log-record.js';
import { LOG_DIRECTORY, parseSegmentName, segmentPath } from './segment-name.js';
import { scanSegment, type SegmentScan } from './segment-scan.js';

/** A place in the log. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** A segment that is no longer written. */
export interface RecoveredSegment {
  readonly sequence: number;
  readonly highestIndex: number;
  /** Bytes. */
  readonly size: number;
}

/** What a log held when it was opened. */
export interface RecoveredLog {
  /** The position before the first record. */
  readonly base: LogPosition;
  /** Records that stand, with consecutive indexes. */
  readonly records: readonly LogRecord[];
  /** Position of the last record written. */
  readonly position: LogPosition;
  readonly sealed: readonly RecoveredSegment[];
  /** Bytes of the last segment that are to be kept. */
  readonly lastSegmentBytes: number;
  /** Bytes after those, from a write that a crash cut short. */
  readonly tornBytes: number;
}

/** Collects records, later ones replacing earlier ones of the same index. */
class RecordCollector {
  readonly records: LogRecord[] = [];

  constructor(public base: LogPosition) {}

  get position(): LogPosition {
    return this.records.at(-1) ?? this.base;
  }

  /** False when the record leaves a hole. */
  add(record: LogRecord): boolean {
    if (record.index <= this.base.index) {
      // It replaced records of a segment that was dropped since. Segments are
      // dropped once a snapshot covers them, so it covers this record too.
      this.records.length = 0;
      this.base = { index: record.index, term: record.term };
      return true;
    }
    const place = record.index - this.base.index - 1;
    if (place > this.records.length) return false;
    this.records.length = place;
    this.records.push(record);
    return true;
  }
}

async function readSegment(
  disk: Disk,
  sequence: number,
  last: number,
): Promise<SegmentScan & { size: number }> {
  const path = segmentPath(sequence);
  const bytes = await disk.read(path);
  if (bytes === undefined) throw new DamagedStorageError(path, 0, 'the segment is missing');
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  return { ...scanSegment(path, buffer, sequence < last), size: buffer.length };
}

/** Removes segments outside the range that counts. */
async function removeStrays(disk: Disk, { first, last }: LogManifest): Promise<void> {
  for (const name of await disk.list(LOG_DIRECTORY)) {
    const sequence = parseSegmentName(name);
    if (sequence === undefined) continue;
    if (sequence < first || sequence > last) await disk.remove(segmentPath(sequence));
  }
}

/** The segment after the last missing one of those that the manifest counts. */
async function firstUnbroken(disk: Disk, { first, last }: LogManifest): Promise<number> {
  const present = new Set((await disk.list(LOG_DIRECTORY)).map(parseSegmentName));
  let sequence = last;
  while (sequence > first && present.has(sequence - 1)) sequence -= 1;
  return sequence;
}

/**
 * The segments to read. An interrupted compaction may have removed any of the segments that a
 * snapshot covers before it wrote the manifest; what precedes the last of them is obsolete too.
 *
 * @throws DamagedStorageError when a segment is missing that is not covered.
 */
async function findSegments(
  disk: Disk,
  manifest: LogManifest,
  coveredIndex: number,
): Promise<LogManifest> {
  const first = await firstUnbroken(disk, manifest);
  if (first === manifest.first) return manifest;
  const [start] = (await readSegment(disk, first, manifest.last)).records;
  if (start === undefined || start.index > coveredIndex) {
    throw new DamagedStorageError(segmentPath(first - 1), 0, 'the segment is missing');
  }
  return { first, last: manifest.last };
}

/**
 * Reads all segments that count.
 *
 * @param coveredIndex - records up to here are in a durable snapshot.
 * @throws DamagedStorageError on a missing segment, a hole, or damage before the tail.
 */
export async function recoverSegments(
  disk: Disk,
  stored: LogManifest,
  coveredIndex: number,
): Promise<RecoveredLog> {
  const manifest = await findSegments(disk, stored, coveredIndex);
  await removeStrays(disk, manifest);
  let collector: RecordCollector | undefined;
  const sealed: RecoveredSegment[] = [];
  let lastSegmentBytes = 0;
  let tornBytes = 0;
  for (let sequence = manifest.first; sequence <= manifest.last; sequence += 1) {
    const scan = await readSegment(disk, sequence, manifest.last);
    const [start, ...records] = scan.records;
    if (start?.kind !== LogRecordKind.SegmentStart) {
      throw new DamagedStorageError(segmentPath(sequence), 0, 'the first record is unreadable');
    }
    collector ??= new RecordCollector(start);
    const { position } = collector;
    if (start.index !== position.index || start.term !== position.term) {
      throw new DamagedStorageError(segmentPath(sequence), 0, 'does not follow the segment before');
    }
    let highestIndex = start.index;
    for (const record of records) {
      if (!collector.add(record)) {
        const reason = `record ${record.index} does not follow record ${collector.position.index}`;
        throw new DamagedStorageError(segmentPath(sequence), 0, reason);
      }
      highestIndex = Math.max(highestIndex, record.index);
    }
    if (sequence < manifest.last) sealed.push({ sequence, highestIndex, size: scan.size });
    lastSegmentBytes = scan.validBytes;
    tornBytes = scan.size - scan.validBytes;
  }
  if (collector === undefined) {
    throw new DamagedStorageError(`${LOG_DIRECTORY}/manifest`, 0, 'counts no segment');
  }
  const { base, records, position } = collector;
  return { base, records, position, sealed, lastSegmentBytes, tornBytes };
}
