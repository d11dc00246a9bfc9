/** Tests the signals that a real process gets while it stops. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { build } from 'esbuild';
import { afterAll, beforeAll, expect, it } from 'vitest';

let folder = '';
let program = '';

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'driftway-signals-'));
  program = join(folder, 'daemon.mjs');
  await build({
    entryPoints: [join(import.meta.dirname, 'support', 'draining-daemon.ts')],
    outfile: program,
    bundle: true,
    platform: 'node',
    format: 'esm',
    // Packages that load others by name at run time need `require`.
    banner: {
      js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
    },
  });
});

afterAll(() => rm(folder, { recursive: true, force: true }));

/** Starts the process and sends it the signal; resolves once it stops, or has ended. */
async function startAndSignal(
  signal: NodeJS.Signals,
): Promise<{ child: ChildProcess; ended: Promise<unknown[]> }> {
  const child = spawn(process.execPath, [program], { stdio: ['pipe', 'pipe', 'inherit'] });
  const ended = once(child, 'exit');
  await new Promise<void>((resolve) => {
    createInterface(child.stdout).on('line', (line) => {
      if (line === 'daemon started') child.kill(signal);
      if (line === 'stopping') resolve();
    });
    void ended.then(() => resolve());
  });
  return { child, ended };
}

// Guards against requests in flight that are cut off because a supervisor repeats its signal.
it.each([
  ['SIGTERM', 'SIGTERM'],
  ['SIGINT', 'SIGTERM'],
  ['SIGHUP', 'SIGHUP'],
] as const)('a process that drains after SIGTERM goes on after %s and %s', async (...signals) => {
  const { child, ended } = await startAndSignal('SIGTERM');
  for (const signal of signals) child.kill(signal);
  child.stdin?.end();
  expect(await ended).toEqual([0, null]);
});

it('a second SIGINT ends the process at once', async () => {
  const { child, ended } = await startAndSignal('SIGINT');
  child.kill('SIGINT');
  expect(await ended).toEqual([130, null]);
});
