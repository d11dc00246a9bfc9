import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['test/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    // Its ESM build imports folders, which only a bundler resolves.
    server: { deps: { inline: ['clipanion'] } },
    pool: 'forks',
    maxWorkers: 6,
  },
});
