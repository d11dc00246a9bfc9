/**
 * Bundles the daemons for the users' platform, so that a process that starts
 * again soon serves: loading takes most of its start. `write-code-cache.js` then
 * compiles the bundle once and for all.
 */
import { copyFile, rm } from 'node:fs/promises';
import { build } from 'esbuild';

const FOLDER = 'target/driftway';

/** All languages of zod's messages but English are left out. */
const onlyEnglish = {
  name: 'only-english',
  setup(bundle) {
    bundle.onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({
      contents: "export { default as en } from './en.js';",
    }));
  },
};

/** Parts of prom-client that no daemon uses, and that load TLS and worker processes. */
const withoutUnusedMetricsParts = {
  name: 'without-unused-metrics-parts',
  setup(bundle) {
    bundle.onLoad({ filter: /prom-client\/lib\/(pushgateway|cluster)\.js$/ }, () => ({
      contents: 'module.exports = undefined;',
    }));
  },
};

await rm(FOLDER, { recursive: true, force: true });
await build({
  entryPoints: { daemon: 'platform/main.ts' },
  outdir: FOLDER,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  // Names stay: errors and their lines in the log carry them.
  minifyWhitespace: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  // Compiled code can be kept for scripts, not for modules. A role's own parts
  // are still run only when it is started.
  format: 'cjs',
  logLevel: 'warning',
  alias: { undici: './scripts/undici-client.js' },
  plugins: [onlyEnglish, withoutUnusedMetricsParts],
  // Holds a compiled addon, which is loaded from where it is installed.
  external: ['@node-rs/xxhash'],
});
await copyFile('scripts/start-bundle.cjs', `${FOLDER}/main.cjs`);
