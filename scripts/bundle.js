/**
 * Bundles the daemons for the users' platform, so that a process that starts
 * again soon serves: loading takes most of its start. Each role loads only its
 * own parts.
 */
import { rm } from 'node:fs/promises';
import { build } from 'esbuild';

/** All languages of zod's messages but English are left out. */
const onlyEnglish = {
  name: 'only-english',
  setup(bundle) {
    bundle.onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({
      contents: "export { default as en } from './en.js';",
    }));
  },
};

await rm('target/driftway', { recursive: true, force: true });
await build({
  entryPoints: { main: 'platform/main.ts' },
  outdir: 'target/driftway',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  splitting: true,
  // Names stay: errors and their lines in the log carry them.
  minifyWhitespace: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  logLevel: 'warning',
  alias: { undici: './scripts/undici-client.js' },
  plugins: [onlyEnglish],
  // Holds a compiled addon, which is loaded from where it is installed.
  external: ['@node-rs/xxhash'],
  // Some dependencies are CommonJS and call require for Node's own modules.
  banner: {
    js: "import { createRequire as bundleRequire } from 'node:module'; const require = bundleRequire(import.meta.url);",
  },
});
