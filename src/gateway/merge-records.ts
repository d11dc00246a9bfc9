/** Merges the greatest records of several parts in descending order. */

/** Size of a record; a shorter remainder at the end of a part is ignored. Bytes. */
export const RECORD_BYTES = 16;
/** Leading bytes of a record that a number represents exactly. */
const KEY_PREFIX_BYTES = 6;
/** Bytes of parts that are merged at a time. */
const BLOCK_BYTES = 16_384 * RECORD_BYTES;
const NO_RECORDS: Buffer = Buffer.alloc(0);

/** Position of a record in its part. */
interface RecordPosition {
  readonly part: Buffer;
  readonly offset: number;
  /** The record's leading bytes; see {@link readKeyPrefixes}. */
  readonly key: number;
}

function compareDescending(left: RecordPosition, right: RecordPosition): number {
  // Comparing bytes calls into the runtime, which costs many times as much as two numbers.
  if (left.key !== right.key) return right.key - left.key;
  return right.part.compare(
    left.part,
    left.offset,
    left.offset + RECORD_BYTES,
    right.offset,
    right.offset + RECORD_BYTES,
  );
}

/** The leading bytes of every record as numbers, which sort in the same order as the bytes. */
function readKeyPrefixes(parts: readonly Buffer[]): Float64Array {
  const total = parts.reduce((sum, part) => sum + part.length / RECORD_BYTES, 0);
  const keys = new Float64Array(total);
  let index = 0;
  for (const part of parts) {
    for (let offset = 0; offset < part.length; offset += RECORD_BYTES) {
      keys[index] = part.readUIntBE(offset, KEY_PREFIX_BYTES);
      index += 1;
    }
  }
  return keys;
}

/** The key of the record with rank `count`; records with a lower key are not among the greatest. */
function thresholdKey(keys: Float64Array, count: number): number {
  if (keys.length <= count) return 0;
  return keys.slice().sort()[keys.length - count] ?? 0;
}

/** Yields the parts in blocks of at most {@link BLOCK_BYTES}, all of whole records. */
function* blocksOf(parts: readonly Buffer[]): Generator<Buffer[]> {
  let block: Buffer[] = [];
  let room = BLOCK_BYTES;
  for (const part of parts) {
    const end = part.length - (part.length % RECORD_BYTES);
    for (let start = 0; start < end;) {
      const piece = part.subarray(start, Math.min(end, start + room));
      block.push(piece);
      start += piece.length;
      room -= piece.length;
      if (room > 0) continue;
      yield block;
      block = [];
      room = BLOCK_BYTES;
    }
  }
  if (block.length > 0) yield block;
}

/**
 * Positions of the records that can be among the greatest `count`: not those that only equal `floor`, as
 * `count` records at least as great are known already.
 */
function selectCandidates(
  parts: readonly Buffer[],
  count: number,
  floor: Buffer | undefined,
): RecordPosition[] {
  const keys = readKeyPrefixes(parts);
  const threshold = thresholdKey(keys, count);
  const candidates: RecordPosition[] = [];
  let index = 0;
  for (const part of parts) {
    for (let offset = 0; offset < part.length; offset += RECORD_BYTES) {
      const key = keys[index] ?? 0;
      index += 1;
      if (key < threshold) continue;
      const end = offset + RECORD_BYTES;
      if (floor !== undefined && part.compare(floor, 0, RECORD_BYTES, offset, end) <= 0) continue;
      candidates.push({ part, offset, key });
    }
  }
  return candidates;
}

/** Returns the greatest `count` records of a block and of `greatest`, the result of earlier blocks. */
function mergeBlock(greatest: Buffer, block: readonly Buffer[], count: number): Buffer {
  const isFull = greatest.length === count * RECORD_BYTES;
  const floor = isFull ? greatest.subarray(-RECORD_BYTES) : undefined;
  const candidates = selectCandidates(block, count, floor);
  if (candidates.length === 0) return greatest;
  const known = selectCandidates([greatest], count, undefined);
  const sorted = [...known, ...candidates].sort(compareDescending).slice(0, count);
  return Buffer.concat(
    sorted.map(({ part, offset }) => part.subarray(offset, offset + RECORD_BYTES)),
  );
}

/**
 * Returns the greatest `count` records of all parts in descending byte order. Equal records are all
 * kept. Only records that can be among the greatest are compared in full, because the parts hold
 * many times `count` records; and only those of one block at a time take memory beside their bytes, as a
 * faulty replica may send megabytes of equal ones.
 */
export function mergeRecords(parts: readonly Uint8Array[], count: number): Uint8Array {
  if (count === 0) return NO_RECORDS;
  const buffers = parts.map((part) => Buffer.from(part.buffer, part.byteOffset, part.byteLength));
  let greatest = NO_RECORDS;
  for (const block of blocksOf(buffers)) greatest = mergeBlock(greatest, block, count);
  return greatest;
}
