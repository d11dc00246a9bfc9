/** The deploy file's build, where dependencies lie that were installed before. */
import { spawnSync } from 'node:child_process';
import { cpSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, describe, expect, it } from 'vitest';

const CHECK = 'scripts/check-dependencies.js';
const folders: string[] = [];

/** A folder with the packages that hold compiled code, without what is compiled for this machine. */
function createForeignInstallation(): string {
  const folder = mkdtempSync(join(tmpdir(), 'driftway-dependencies-'));
  folders.push(folder);
  for (const path of [
    CHECK,
    'package.json',
    'node_modules/esbuild',
    'node_modules/@node-rs/xxhash',
  ]) {
    cpSync(path, join(folder, path), { recursive: true, dereference: true });
  }
  return folder;
}

function runCheck(cwd: string): number | null {
  return spawnSync(process.execPath, [CHECK], { cwd }).status;
}

afterEach(() => {
  for (const folder of folders.splice(0)) rmSync(folder, { recursive: true });
});

// A build that took them for usable failed, and the daemons didn't start.
describe('dependencies that came from a machine of another architecture', () => {
  it('are not taken for usable because they are newer than the lock file', () => {
    expect(runCheck(createForeignInstallation())).toBe(1);
    expect(runCheck('.')).toBe(0);
  });

  it('are installed anew by the build', () => {
    const [, build] = /^build = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
    expect(build).toContain(`node ${CHECK} || npm ci`);
  });
});
