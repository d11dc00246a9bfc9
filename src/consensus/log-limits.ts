/** Divides the disk of a data folder between snapshots and the log. */

const MEBIBYTE = 1024 * 1024;
/** Fraction of the disk that stays free for small files and the file system's own data. */
const SPARE_FRACTION = 0.1;
/** A snapshot is written whole before the one that it replaces is removed. */
const SNAPSHOTS_AT_ONCE = 2;
/** The records of the log are held in memory as well, so a larger disk doesn't make it longer. */
const MAXIMUM_LOG_BYTES = 64 * MEBIBYTE;
/**
 * Equal parts of the log: retained records that a snapshot covers, records since that snapshot,
 * uncommitted records, and segments that are partly obsolete, as segments are dropped whole.
 */
const LOG_PARTS = 4;
const SEGMENTS_PER_PART = 4;

/** Smallest supported disk: holds a log beside two snapshots with the longest route document. Bytes. */
export const MINIMUM_CAPACITY_BYTES = 48 * MEBIBYTE;

/** All in bytes. */
export interface LogLimits {
  /** Size on the disk at which a leader takes no further commands. */
  readonly maximumBytes: number;
  /** A snapshot is taken once records of this size were applied since the last one. */
  readonly snapshotEveryBytes: number;
  /** Records before the snapshot that are kept for members that lag. */
  readonly retainedBytes: number;
  /** Proposed but not committed on a leader. */
  readonly maximumUncommittedBytes: number;
  /** Size at which the log begins a new segment. */
  readonly segmentBytes: number;
}

/**
 * Limits for a disk of `capacityBytes` that holds snapshots of `snapshotBytes`: where snapshots are
 * long, the log is kept shorter.
 */
export function logLimits(capacityBytes: number, snapshotBytes: number): LogLimits {
  const usable = capacityBytes * (1 - SPARE_FRACTION) - SNAPSHOTS_AT_ONCE * snapshotBytes;
  const maximumBytes = Math.floor(Math.min(MAXIMUM_LOG_BYTES, Math.max(0, usable)));
  const part = Math.floor(maximumBytes / LOG_PARTS);
  return {
    maximumBytes,
    snapshotEveryBytes: part,
    retainedBytes: part,
    maximumUncommittedBytes: part,
    segmentBytes: Math.floor(part / SEGMENTS_PER_PART),
  };
}
