import { configDefaults, defineConfig } from 'vitest/config';

/** Tests of crowds of callers run one at a time, after all others: they measure processes under a load of their own. */
const CROWD_TESTS = 'test/lab/deployed/crowd-*.test.ts';

export default defineConfig({
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    // Its ESM build imports folders, which only a bundler resolves.
    server: { deps: { inline: ['clipanion'] } },
    pool: 'forks',
    projects: [
      {
        extends: true,
        test: {
          name: 'tests',
          include: ['test/**/*.test.ts'],
          exclude: [...configDefaults.exclude, CROWD_TESTS],
          maxWorkers: 6,
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: 'crowds',
          include: [CROWD_TESTS],
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
