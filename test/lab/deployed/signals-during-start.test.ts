// Guards against a daemon that a signal to reload ends because it comes while the daemon starts.
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, expect, it } from 'vitest';
import { DeployedSite, until } from './deployed-support.js';

const SIGNAL_PAUSE_MS = 5;

let site: DeployedSite;

afterEach(() => site.close());

it('daemons start although they are told to reload all the while', async () => {
  site = await DeployedSite.create({ gateways: 2 });
  const { controllers, gateways } = site.fleet;
  const starts = [...controllers, ...gateways].map(async (daemon) => {
    await daemon.writeSettings(daemon.settingsText);
    const started = daemon.spawn();
    // No program can catch a signal that comes before its first instruction.
    await until(() => started.catches('SIGHUP'));
    while (started.isRunning && !started.hasSaid('daemon started')) {
      started.notify('SIGHUP');
      await sleep(SIGNAL_PAUSE_MS);
    }
  });
  await Promise.all(starts);
  expect(site.unexpectedEnds).toEqual([]);
});
