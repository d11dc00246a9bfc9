/**
 * Exits with 1 when the installed dependencies can't be used on this machine: an installation that was
 * interrupted, or one that came from a machine of another architecture, whose compiled programs don't run here.
 */
import console from 'node:console';
import process from 'node:process';

/** Loads what is compiled: the bundler, and the addon that the bundle leaves where it is installed. */
async function runCompiledDependencies() {
  const { transform } = await import('esbuild');
  await transform('');
  const { xxh32 } = await import('@node-rs/xxhash');
  xxh32('');
}

try {
  await runCompiledDependencies();
} catch (error) {
  const [reason] = String(error).split('\n');
  console.error(`dependencies are installed anew: ${reason}`);
  process.exitCode = 1;
}
