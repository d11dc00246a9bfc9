/** Reads a segment back and tells a torn tail from damage. */
import { DamagedStorageError } from './damaged-storage-error.js';
import { decodeRecord, RECORD_MAGIC, type LogRecord } from './log-record.js';

/** What a segment holds. */
export interface SegmentScan {
  readonly records: readonly LogRecord[];
  /** Bytes up to the end of the last record; less than the file's size after a torn write. */
  readonly validBytes: number;
}

/**
 * A later record that proves the bytes at `badOffset` had been durable, if any.
 * Records of the same write that was cut short prove nothing: a disk may keep
 * the later pages of a write and lose earlier ones.
 */
function findProofOfDurability(bytes: Buffer, badOffset: number): number | undefined {
  let candidate = bytes.indexOf(RECORD_MAGIC, badOffset + 1);
  while (candidate >= 0) {
    const stored = decodeRecord(bytes, candidate);
    if (stored !== undefined && stored.syncedOffset > badOffset) return candidate;
    candidate = bytes.indexOf(RECORD_MAGIC, candidate + 1);
  }
  return undefined;
}

/**
 * Reads all records of a segment.
 *
 * @param sealed - whether a later segment exists; a sealed segment has no torn tail, because it
 *   was synced before the next one was made.
 * @throws DamagedStorageError on damage that is not a torn tail.
 */
export function scanSegment(path: string, bytes: Buffer, sealed: boolean): SegmentScan {
  const records: LogRecord[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const stored = decodeRecord(bytes, offset);
    if (stored === undefined) break;
    records.push(stored.record);
    offset = stored.end;
  }
  if (offset === bytes.length) return { records, validBytes: offset };
  if (sealed) {
    throw new DamagedStorageError(path, offset, 'a bad record in a segment that was complete');
  }
  const proof = findProofOfDurability(bytes, offset);
  if (proof !== undefined) {
    throw new DamagedStorageError(path, offset, `a bad record before a valid one at byte ${proof}`);
  }
  return { records, validBytes: offset };
}
