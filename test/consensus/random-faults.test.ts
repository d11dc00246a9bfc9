import { describe, expect, it } from 'vitest';
import { runRandomFaults } from './support/random-run.js';

const SEEDS = Array.from({ length: Number(process.env.RAFT_SEEDS ?? 12) }, (_, seed) => seed + 1);
const ROUNDS = 150;
/** Every second run also duplicates and reorders requests. */
const SHUFFLED = 2;
/** Small, so that compaction, segment changes and snapshot transfers happen often. */
const LIMITS = {
  snapshotEveryRecords: 20,
  retainedRecords: 8,
  segmentBytes: 1_500,
  snapshotChunkBytes: 200,
};

describe('safety under random faults and replacements of lost disks', () => {
  it.each(SEEDS)('three members, seed %i', async (seed) => {
    const shuffle = seed % SHUFFLED === 0;
    const options = { limits: LIMITS, shuffle };
    const result = await runRandomFaults(seed, ['a', 'b', 'c'], ROUNDS, options);
    expect(result.violations).toEqual([]);
    expect(result.acknowledged).toBeGreaterThan(0);
  });

  it.each(SEEDS)('five members, seed %i', async (seed) => {
    const ids = ['a', 'b', 'c', 'd', 'e'];
    const shuffle = seed % SHUFFLED === 0;
    const result = await runRandomFaults(seed, ids, ROUNDS, { limits: LIMITS, shuffle });
    expect(result.violations).toEqual([]);
    expect(result.acknowledged).toBeGreaterThan(0);
  });
});
