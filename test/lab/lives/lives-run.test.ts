import { expect, it } from 'vitest';
import { DEFAULT_LIVES_OPTIONS } from '../../../lab/lives/lives-options.js';
import { runLives } from '../../../lab/lives/lives-run.js';

/** A share of what is run by hand. */
const SEEDS = 6;
const LONGEST_TEST_MS = 120_000;

it(
  'replicas that start again under their ids break no promise whatever the seed',
  async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const { violations, lives, answered } = await runLives({ ...DEFAULT_LIVES_OPTIONS, seed });
      expect({ seed, violations }).toEqual({ seed, violations: [] });
      expect(lives).toBeGreaterThan(DEFAULT_LIVES_OPTIONS.replicas);
      expect(answered).toBeGreaterThan(100);
    }
  },
  LONGEST_TEST_MS,
);
