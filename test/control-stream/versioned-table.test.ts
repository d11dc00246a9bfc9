import * as fc from 'fast-check';
import { expect, it } from 'vitest';
import { VersionedTable } from '../../src/control-stream/versioned-table.js';

const RUNS = { numRuns: 200, seed: 4 };
const MAXIMUM_ENTRIES = 5;

/** Reference implementation: scans all changes for the latest one of each key. */
function latestAfter(changes: readonly string[], position: number): string[] {
  return changes.filter((key, index) => index >= position && !changes.includes(key, index + 1));
}

it('returns the latest value of each key that changed after a position, in order of change', () => {
  const keys = fc.array(fc.constantFrom('a', 'b', 'c', 'd', 'e'), {
    maxLength: 3_000,
    size: 'max',
  });
  fc.assert(
    fc.property(keys, fc.double({ min: 0, max: 1, noNaN: true }), (changes, fraction) => {
      const table = new VersionedTable<string>(MAXIMUM_ENTRIES);
      for (const key of changes) table.put(key, key);
      const position = Math.floor(fraction * changes.length);
      expect(table.position).toBe(changes.length);
      expect(table.changedAfter(position)).toEqual(latestAfter(changes, position));
    }),
    RUNS,
  );
});

it('keeps a key that changed only once, before many changes of another key', () => {
  const table = new VersionedTable<string>(MAXIMUM_ENTRIES);
  for (const key of ['a', ...Array<string>(5_000).fill('b')]) table.put(key, key);
  expect(table.changedAfter(0)).toEqual(['a', 'b']);
});

it('drops removed keys, and evicts the key unchanged for longest above its limit', () => {
  const table = new VersionedTable<number>(2);
  for (const [index, key] of ['a', 'b', 'a', 'c'].entries()) table.put(key, index);
  expect(table.changedAfter(0)).toEqual([2, 3]);
  table.remove('a');
  expect(table.changedAfter(0)).toEqual([3]);
  expect(table.size).toBe(1);
});
