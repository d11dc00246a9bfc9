/**
 * What the platform's processes start from: the bundle with its compiled code.
 * Builds it in a folder of its own, as the platform's build does.
 */
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { Script } from 'node:vm';
import { afterEach, beforeAll, describe, expect, it } from 'vitest';
import { DaemonProcess, GATEWAY_SETTINGS } from './daemon-process.js';

beforeAll(() => {
  execFileSync(process.execPath, ['scripts/bundle.js']);
  execFileSync(process.execPath, ['scripts/write-code-cache.js']);
});

it('bundles the daemons with compiled code that the same Node takes', () => {
  const bundle = readFileSync('target/driftway/daemon.cjs', 'utf8');
  const cachedData = readFileSync('target/driftway/daemon.cache');
  const wrapped = `(function (exports, require, module) {${bundle}\n})`;
  const script = new Script(wrapped, { filename: 'daemon.cjs', cachedData });
  expect(script.cachedDataRejected).toBe(false);
});

describe('a daemon of the bundle', () => {
  let daemon: DaemonProcess;

  afterEach(() => daemon.remove());

  it('that finds its settings file half written waits, and starts once it is whole', async () => {
    daemon = await DaemonProcess.start(GATEWAY_SETTINGS.slice(0, 100));
    await daemon.logged('settings not usable yet');
    await daemon.writeSettings(GATEWAY_SETTINGS);
    await daemon.logged('gateway listening');
  });

  it('that is told to stop while it waits for its settings ends with exit code 0', async () => {
    daemon = await DaemonProcess.start();
    await daemon.logged('settings not usable yet');
    daemon.signal('SIGTERM');
    expect(await daemon.ended).toBe(0);
  });
});
