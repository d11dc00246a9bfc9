import { describe, expect, it } from 'vitest';
import { DEFAULT_ROLLOUT_OPTIONS } from '../../../lab/rollout/rollout-options.js';
import { runRollout } from '../../../lab/rollout/rollout-run.js';

/** A share of what is run by hand. */
const SEEDS = 12;
const LONGEST_TEST_MS = 120_000;

describe('route documents that follow each other while controllers fail', () => {
  it(
    'are in force at every gateway within the bound whatever the seed',
    async () => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const { late, reverted, rollouts } = await runRollout({ ...DEFAULT_ROLLOUT_OPTIONS, seed });
        expect({ seed, late, reverted }).toEqual({ seed, late: [], reverted: [] });
        expect(rollouts).toBeGreaterThan(100);
      }
    },
    LONGEST_TEST_MS,
  );

  it('is exactly repeatable', async () => {
    const options = { ...DEFAULT_ROLLOUT_OPTIONS, seed: 3, durationMs: 5_000 };
    const first = await runRollout(options);
    const second = await runRollout(options);
    expect(second).toEqual(first);
  });
});
