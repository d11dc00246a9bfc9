import { spawnSync } from 'node:child_process';
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, it } from 'vitest';

/** Is told of changed settings while it loads, and says that it runs. */
const BUNDLE = `
  process.kill(process.pid, 'SIGHUP');
  exports.runOnPlatform = () => setImmediate(() => console.log('runs'));
`;

it('a process that is told of changed settings while it loads goes on', () => {
  const folder = mkdtempSync(join(tmpdir(), 'driftway-bundle-'));
  copyFileSync('scripts/start-bundle.cjs', join(folder, 'main.cjs'));
  writeFileSync(join(folder, 'daemon.cjs'), BUNDLE);
  const { stdout, signal } = spawnSync(process.execPath, [join(folder, 'main.cjs')]);
  rmSync(folder, { recursive: true });
  expect(signal).toBeNull();
  expect(stdout.toString()).toBe('runs\n');
});
