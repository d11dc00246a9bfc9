import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { Worker } from 'node:worker_threads';
import { transformSync } from 'esbuild';
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

  it('returns the greatest records of parts that are merged in several blocks', () => {
    const BLOCK_RECORDS = 16_384;
    const long = fc.record({
      records: fc.integer({ min: BLOCK_RECORDS - 1, max: 3 * BLOCK_RECORDS }),
      values: fc.integer({ min: 1, max: 300 }),
      rest: fc.integer({ min: 0, max: RECORD_BYTES - 1 }),
    });
    const createPart = ({ records, values, rest }: { [name: string]: number }): Uint8Array => {
      const bytes = Buffer.alloc((records ?? 0) * RECORD_BYTES + (rest ?? 0));
      for (let index = 0; index < (records ?? 0); index += 1) {
        const value = (index * 7919) % (values ?? 1);
        bytes.writeUInt32BE(value, index * RECORD_BYTES + (value % 2 === 0 ? 0 : 12));
      }
      return bytes;
    };
    fc.assert(
      fc.property(
        fc.array(long, { maxLength: 3 }),
        part,
        fc.nat({ max: 60 }),
        (all, short, count) => {
          const bytes = [...all.map(createPart), short];
          const merged = Buffer.from(mergeRecords(bytes, count)).toString('hex');
          expect(merged).toBe(expected(bytes, count));
        },
      ),
      { seed: 65, numRuns: 12 },
    );
  });

  // Guards against an object for each of millions of records, which uses up the heap and ends the process.
  it('merges megabytes of equal records in a small heap', async () => {
    const PARTS = 20;
    const PART_BYTES = 2 * 1024 * 1024;
    const COUNT = 5;
    const source = readFileSync('src/gateway/merge-records.ts', 'utf8');
    const { code } = transformSync(source, { loader: 'ts', format: 'cjs' });
    const call = `
      const { parentPort } = require('node:worker_threads');
      const parts = Array.from({ length: ${PARTS} }, () => new Uint8Array(${PART_BYTES}).fill(7));
      parentPort.postMessage(module.exports.mergeRecords(parts, ${COUNT}).length);`;
    const resourceLimits = { maxOldGenerationSizeMb: 64, maxYoungGenerationSizeMb: 16 };
    const worker = new Worker(`${code}${call}`, { eval: true, resourceLimits });
    const [bytes] = (await once(worker, 'message')) as [number];
    expect(bytes).toBe(COUNT * RECORD_BYTES);
    await worker.terminate();
  });
});
