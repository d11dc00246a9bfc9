// Guards against a daemon that ends because its predecessor still holds its addresses.
import { afterEach, expect, it } from 'vitest';
import { untilStarted, type DeployedDaemon } from '../../../lab/deployed/deployed-fleet.js';
import { DeployedSite } from './deployed-support.js';

let site: DeployedSite;

afterEach(() => site.close());

/** Starts a successor on each machine while its predecessor stops; resolves when all of them run. */
async function replaceAll(daemons: readonly DeployedDaemon[]): Promise<void> {
  const replacements = daemons.map(async (daemon) => {
    const predecessor = daemon.process;
    predecessor.tellToStop();
    const successor = daemon.spawn();
    const { exitCode } = await predecessor.ended;
    expect(exitCode).toBe(0);
    await untilStarted(successor);
  });
  await Promise.all(replacements);
}

it('a gateway that starts beside its predecessor serves after it', async () => {
  site = await DeployedSite.create();
  await site.serve();
  await replaceAll(site.fleet.gateways);
  await Promise.all(site.fleet.gateways.map((gateway) => site.untilServing(gateway)));
  expect(site.unexpectedEnds).toEqual([]);
});

it('a controller that starts beside its predecessor runs after it', async () => {
  site = await DeployedSite.create({ gateways: 1 });
  await site.serve();
  for (const controller of site.fleet.controllers) await replaceAll([controller]);
  await Promise.all(site.fleet.gateways.map((gateway) => site.untilServing(gateway)));
  expect(site.unexpectedEnds).toEqual([]);
});
