// Guards against a daemon that ends because its settings are being written as it starts or runs.
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, expect, it } from 'vitest';
import type { DeployedDaemon } from '../../../lab/deployed/deployed-fleet.js';
import type { DeployedProcess } from '../../../lab/deployed/deployed-process.js';
import { DeployedSite, until } from './deployed-support.js';

/** Longer than a daemon takes to read its settings when it starts. */
const HALF_WRITTEN_MS = 1_000;
const REWRITES = 10;
const REWRITE_PAUSE_MS = 50;

let site: DeployedSite;

afterEach(() => site.close());

function half(text: string): string {
  return text.slice(0, text.length / 2);
}

/** Starts a process on settings of which only `part` is written, and writes the rest a moment later. */
async function startDuringWrite(
  daemon: DeployedDaemon,
  part: (text: string) => string,
): Promise<DeployedProcess> {
  await daemon.writeSettings(part(daemon.settingsText));
  const started = daemon.spawn();
  await sleep(HALF_WRITTEN_MS);
  await daemon.writeSettings(daemon.settingsText);
  return started;
}

it.each([
  ['half written', half],
  ['empty', () => ''],
])('daemons start although their settings are %s at first', async (_, part) => {
  site = await DeployedSite.create({ gateways: 2 });
  const { controllers, gateways } = site.fleet;
  const starts = [...controllers, ...gateways].map((daemon) => startDuringWrite(daemon, part));
  const processes = await Promise.all(starts);
  const running = processes.map((started) =>
    until(() => started.hasSaid('daemon started') || !started.isRunning),
  );
  await Promise.all(running);
  expect(site.unexpectedEnds).toEqual([]);
});

it('a daemon that runs stays although its settings are written in two halves again and again', async () => {
  site = await DeployedSite.create({ controllers: 1, gateways: 1 });
  await site.serve();
  const [gateway] = site.fleet.gateways;
  if (gateway === undefined) throw new Error('expected a gateway');
  for (let count = 0; count < REWRITES; count += 1) {
    await gateway.writeSettings(half(gateway.settingsText));
    gateway.process.notify('SIGHUP');
    await sleep(REWRITE_PAUSE_MS);
    await gateway.writeSettings(gateway.settingsText);
    gateway.process.notify('SIGHUP');
  }
  await site.untilServing(gateway);
  expect(site.unexpectedEnds).toEqual([]);
});
