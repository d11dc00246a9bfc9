/** Merges the records of several parts: the greatest ones, the greatest first. */

/** Size of a record; what is left at the end of a part is no record. Bytes. */
export const RECORD_BYTES = 16;

/** Where a record lies. */
interface RecordPlace {
  readonly part: Buffer;
  readonly offset: number;
}

function compareFalling(left: RecordPlace, right: RecordPlace): number {
  return right.part.compare(
    left.part,
    left.offset,
    left.offset + RECORD_BYTES,
    right.offset,
    right.offset + RECORD_BYTES,
  );
}

/**
 * The greatest `count` records of all parts, compared byte by byte, falling.
 * Equal records all count.
 */
export function mergeRecords(parts: readonly Uint8Array[], count: number): Uint8Array {
  const places: RecordPlace[] = [];
  for (const bytes of parts) {
    const part = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const last = part.length - RECORD_BYTES;
    for (let offset = 0; offset <= last; offset += RECORD_BYTES) places.push({ part, offset });
  }
  places.sort(compareFalling);
  const greatest = places.slice(0, count);
  return Buffer.concat(
    greatest.map(({ part, offset }) => part.subarray(offset, offset + RECORD_BYTES)),
  );
}
