/** Merges the records of several parts: the greatest ones, the greatest first. */

/** Size of a record; what is left at the end of a part is no record. Bytes. */
export const RECORD_BYTES = 16;
/** Leading bytes of a record that fit a number exactly. */
const KEY_PREFIX_BYTES = 6;

/** Where a record lies. */
interface RecordPosition {
  readonly part: Buffer;
  readonly offset: number;
}

function compareDescending(left: RecordPosition, right: RecordPosition): number {
  return right.part.compare(
    left.part,
    left.offset,
    left.offset + RECORD_BYTES,
    right.offset,
    right.offset + RECORD_BYTES,
  );
}

function countRecords(parts: readonly Buffer[]): number {
  return parts.reduce((sum, part) => sum + Math.floor(part.length / RECORD_BYTES), 0);
}

/** The leading bytes of every record, as numbers that compare as the bytes do. */
function readKeyPrefixes(parts: readonly Buffer[], total: number): Float64Array {
  const keys = new Float64Array(total);
  let index = 0;
  for (const part of parts) {
    const last = part.length - RECORD_BYTES;
    for (let offset = 0; offset <= last; offset += RECORD_BYTES) {
      keys[index] = part.readUIntBE(offset, KEY_PREFIX_BYTES);
      index += 1;
    }
  }
  return keys;
}

/** The key that the record of rank `count` has; records below it are not among the greatest. */
function thresholdKey(keys: Float64Array, count: number): number {
  if (keys.length <= count) return 0;
  return keys.slice().sort()[keys.length - count] ?? 0;
}

/** The records whose key is `least` or greater. */
function selectCandidates(
  parts: readonly Buffer[],
  keys: Float64Array,
  threshold: number,
): RecordPosition[] {
  const candidates: RecordPosition[] = [];
  let index = 0;
  for (const part of parts) {
    const last = part.length - RECORD_BYTES;
    for (let offset = 0; offset <= last; offset += RECORD_BYTES) {
      if ((keys[index] ?? 0) >= threshold) candidates.push({ part, offset });
      index += 1;
    }
  }
  return candidates;
}

/**
 * The greatest `count` records of all parts, compared byte by byte, falling.
 * Equal records all count. Only records that can be among them are compared in
 * full: parts hold many times as many.
 */
export function mergeRecords(parts: readonly Uint8Array[], count: number): Uint8Array {
  if (count === 0) return new Uint8Array(0);
  const buffers = parts.map((part) => Buffer.from(part.buffer, part.byteOffset, part.byteLength));
  const keys = readKeyPrefixes(buffers, countRecords(buffers));
  const candidates = selectCandidates(buffers, keys, thresholdKey(keys, count));
  candidates.sort(compareDescending);
  const greatest = candidates.slice(0, count);
  return Buffer.concat(
    greatest.map(({ part, offset }) => part.subarray(offset, offset + RECORD_BYTES)),
  );
}
