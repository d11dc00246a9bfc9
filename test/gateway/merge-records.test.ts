import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RECORD_BYTES, mergeRecords } from '../../src/gateway/merge-records.js';

/** The small range makes equal records and equal key prefixes likely. */
const byte = fc.oneof(fc.integer({ min: 0, max: 1 }), fc.integer({ min: 0, max: 255 }));
const part = fc.uint8Array({ maxLength: 20 * RECORD_BYTES + 7 });
const repetitivePart = fc
  .array(byte, { maxLength: 20 * RECORD_BYTES + 7 })
  .map((bytes) => Uint8Array.from(bytes));

/** Reference implementation: sorts all records in full. */
function expected(parts: readonly Uint8Array[], count: number): string {
  const records = parts.flatMap((bytes) => {
    const hex = Buffer.from(bytes).toString('hex');
    return hex.match(/.{32}/g) ?? [];
  });
  return records.sort().reverse().slice(0, count).join('');
}

describe('mergeRecords', () => {
  it('returns the greatest records of all parts in descending order for any parts', () => {
    const parts = fc.array(fc.oneof(part, repetitivePart), { maxLength: 6 });
    fc.assert(
      fc.property(parts, fc.integer({ min: 0, max: 60 }), (bytes, count) => {
        const merged = Buffer.from(mergeRecords(bytes, count)).toString('hex');
        expect(merged).toBe(expected(bytes, count));
      }),
      { seed: 11, numRuns: 500 },
    );
  });

  it('keeps every occurrence of equal records', () => {
    const record = new Uint8Array(RECORD_BYTES).fill(9);
    const lower = new Uint8Array(RECORD_BYTES).fill(3);
    const merged = mergeRecords([record, lower, record, record], 3);
    expect([...merged]).toEqual([...record, ...record, ...record]);
  });
});
