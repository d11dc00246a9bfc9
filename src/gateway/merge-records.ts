/** Merges the greatest records of several parts in descending order. */

/** Size of a record; a shorter remainder at the end of a part is ignored. Bytes. */
export const RECORD_BYTES = 16;
/** Leading bytes of a record that a number represents exactly. */
const KEY_PREFIX_BYTES = 6;
/** Records are sorted when there are so many times those that are wanted. */
const SORTED_MULTIPLE = 4;

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

function countRecords(parts: readonly Buffer[]): number {
  return parts.reduce((sum, part) => sum + Math.floor(part.length / RECORD_BYTES), 0);
}

/** The leading bytes of every record as numbers, which sort in the same order as the bytes. */
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

/** The key of the record with rank `count`; records with a lower key are not among the greatest. */
function thresholdKey(keys: Float64Array, count: number): number {
  if (keys.length <= count) return 0;
  return keys.slice().sort()[keys.length - count] ?? 0;
}

/** Collects the greatest `count` records; holds a few times as many, however many are equal. */
class GreatestRecords {
  private records: RecordPosition[] = [];

  constructor(private readonly count: number) {}

  add(record: RecordPosition): void {
    this.records.push(record);
    if (this.records.length >= this.count * SORTED_MULTIPLE) this.records = this.sorted();
  }

  /** In descending order. */
  sorted(): RecordPosition[] {
    return this.records.sort(compareDescending).slice(0, this.count);
  }
}

/** The greatest `count` records, of those whose key is `threshold` or greater. */
function selectGreatest(
  parts: readonly Buffer[],
  keys: Float64Array,
  count: number,
): RecordPosition[] {
  const threshold = thresholdKey(keys, count);
  const greatest = new GreatestRecords(count);
  let index = 0;
  for (const part of parts) {
    const last = part.length - RECORD_BYTES;
    for (let offset = 0; offset <= last; offset += RECORD_BYTES) {
      const key = keys[index] ?? 0;
      if (key >= threshold) greatest.add({ part, offset, key });
      index += 1;
    }
  }
  return greatest.sorted();
}

/**
 * Returns the greatest `count` records of all parts in descending byte order. Equal records are all
 * kept. Only records that can be among the greatest are compared in full, because the parts hold
 * many times `count` records.
 */
export function mergeRecords(parts: readonly Uint8Array[], count: number): Uint8Array {
  if (count === 0) return new Uint8Array(0);
  const buffers = parts.map((part) => Buffer.from(part.buffer, part.byteOffset, part.byteLength));
  const keys = readKeyPrefixes(buffers, countRecords(buffers));
  const greatest = selectGreatest(buffers, keys, count);
  return Buffer.concat(
    greatest.map(({ part, offset }) => part.subarray(offset, offset + RECORD_BYTES)),
  );
}
