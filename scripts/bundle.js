/** Bundles the daemons for the users' platform into one file, which starts in half the time. */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/driftway.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Holds a compiled addon, which is loaded from where it is installed.
  external: ['@node-rs/xxhash'],
  logLevel: 'warning',
  // Some dependencies are CommonJS and call require for Node's own modules.
  banner: {
    js: "import { createRequire as bundleRequire } from 'node:module'; const require = bundleRequire(import.meta.url);",
  },
});
