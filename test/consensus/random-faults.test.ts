import { describe, expect, it } from 'vitest';
import { runRandomFaults } from './support/random-run.js';

const SEEDS = Array.from({ length: Number(process.env.RAFT_SEEDS ?? 12) }, (_, seed) => seed + 1);
const ROUNDS = 150;
/** Small, so that compaction, segment changes and snapshot transfers happen often. */
const LIMITS = {
  snapshotEveryRecords: 20,
  retainedRecords: 8,
  segmentBytes: 1_500,
  snapshotChunkBytes: 200,
};

describe('safety under random crashes, cuts and torn writes', () => {
  it.each(SEEDS)('three members, seed %i', async (seed) => {
    const result = await runRandomFaults(seed, ['a', 'b', 'c'], ROUNDS, { limits: LIMITS });
    expect(result.violations).toEqual([]);
    expect(result.acknowledged).toBeGreaterThan(0);
  });

  it.each(SEEDS)('five members, seed %i', async (seed) => {
    const ids = ['a', 'b', 'c', 'd', 'e'];
    const result = await runRandomFaults(seed, ids, ROUNDS, { limits: LIMITS });
    expect(result.violations).toEqual([]);
    expect(result.acknowledged).toBeGreaterThan(0);
  });
});
