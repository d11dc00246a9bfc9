/** Tests processes that write to one pipe whose reader has stalled. */
import { execFileSync, spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, constants, openSync } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build } from 'esbuild';
import { afterEach, beforeEach, expect, it } from 'vitest';

let folder = '';
let pipe = 0;
let children: ChildProcess[] = [];

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'driftway-output-'));
  execFileSync('mkfifo', [join(folder, 'pipe')]);
  // Opened for both directions, so that it has a reader, which never reads.
  pipe = openSync(join(folder, 'pipe'), constants.O_RDWR);
  children = [];
});

afterEach(async () => {
  for (const child of children) child.kill('SIGKILL');
  closeSync(pipe);
  await rm(folder, { recursive: true });
});

function start(...nodeArguments: string[]): ChildProcess {
  const child = spawn(process.execPath, nodeArguments, { stdio: ['pipe', pipe, 'pipe'] });
  children.push(child);
  return child;
}

async function said(child: ChildProcess): Promise<void> {
  if (child.stderr === null) throw new Error('expected a standard error stream');
  await once(child.stderr, 'data');
}

async function end(child: ChildProcess): Promise<unknown[]> {
  const ended = once(child, 'exit');
  child.stdin?.end();
  return ended;
}

// Guards against a process that never exits since another one that wrote to the same pipe has exited.
it('a process exits although another one that shares its output has exited', async () => {
  const program = join(folder, 'wordy.mjs');
  const entry = join(import.meta.dirname, 'support', 'wordy-process.ts');
  await build({
    entryPoints: [entry],
    outfile: program,
    bundle: true,
    platform: 'node',
    format: 'esm',
  });
  const script = "process.stdout.fd; process.stderr.write('up'); process.stdin.resume();";
  const other = start('-e', script);
  await said(other);
  const wordy = start(program);
  await said(wordy);
  expect(await end(other)).toEqual([0, null]);
  expect(await end(wordy)).toEqual([0, null]);
});
