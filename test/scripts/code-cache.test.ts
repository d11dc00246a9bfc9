/**
 * What the platform's processes start from: the bundle with its compiled code.
 * Builds it in a folder of its own, as the platform's build does.
 */
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { Script } from 'node:vm';
import { expect, it } from 'vitest';

it('bundles the daemons with compiled code that the same Node takes', () => {
  execFileSync(process.execPath, ['scripts/bundle.js']);
  execFileSync(process.execPath, ['scripts/write-code-cache.js']);
  const bundle = readFileSync('target/driftway/daemon.cjs', 'utf8');
  const cachedData = readFileSync('target/driftway/daemon.cache');
  const wrapped = `(function (exports, require, module) {${bundle}\n})`;
  const script = new Script(wrapped, { filename: 'daemon.cjs', cachedData });
  expect(script.cachedDataRejected).toBe(false);
});
