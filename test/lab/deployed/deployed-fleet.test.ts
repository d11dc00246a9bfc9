import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { describe, expect, it } from 'vitest';
import { ProcessGuard } from '../../../lab/deployed/process-guard.js';
import type { DeployedFleet } from '../../../lab/deployed/deployed-fleet.js';
import { DeployedSite } from './deployed-support.js';

/** Less than Node itself uses. */
const TOO_LITTLE_MB = 20;

async function withDeployedFleet(
  size: { readonly memoryMb?: number },
  use: (fleet: DeployedFleet) => Promise<void>,
): Promise<void> {
  const site = await DeployedSite.create(size);
  await use(site.fleet).finally(() => site.close());
}

describe('a deployed fleet', () => {
  it('starts and stops as it is told to', async () => {
    await withDeployedFleet({}, async (fleet) => {
      await fleet.start();
      const daemons = [...fleet.gateways, ...fleet.controllers];
      const stops = daemons.map(({ process }) => process.stop(fleet.stopPatienceMs));
      for (const { exitCode, isUnexpected } of await Promise.all(stops)) {
        expect({ exitCode, isUnexpected }).toEqual({ exitCode: 0, isUnexpected: false });
      }
      expect(fleet.unexpectedEnds).toEqual([]);
    });
  });

  it('kills a process that is over its memory, and records it', async () => {
    await withDeployedFleet({ memoryMb: TOO_LITTLE_MB }, async (fleet) => {
      const [gateway] = fleet.gateways;
      await gateway?.writeSettings(gateway.settingsText);
      const end = await gateway?.spawn().ended;
      expect(end).toMatchObject({ signal: 'SIGKILL', isOverMemory: true, isUnexpected: true });
      expect(fleet.unexpectedEnds).toHaveLength(1);
    });
  });

  it('records a process that nobody in the run told to end, with its last lines', async () => {
    await withDeployedFleet({}, async (fleet) => {
      await fleet.start();
      const started = fleet.gateways[0]?.process;
      process.kill(started?.pid as number, 'SIGKILL');
      const end = await started?.ended;
      expect(end).toMatchObject({ signal: 'SIGKILL', isOverMemory: false, isUnexpected: true });
      expect(end?.lastLines).not.toEqual([]);
      expect(fleet.unexpectedEnds).toHaveLength(1);
    });
  });
});

// Guards against daemons that a run left behind when it was killed.
it('ends the processes that are left when the run is gone', async () => {
  const guard = new ProcessGuard();
  const [kept, removed] = [spawn('sleep', ['60']), spawn('sleep', ['60'])];
  const killed = once(kept, 'exit');
  guard.add(removed.pid as number);
  guard.add(kept.pid as number);
  guard.remove(removed.pid as number);
  await guard.close();
  expect(await killed).toEqual([null, 'SIGKILL']);
  expect(removed.exitCode).toBeNull();
  expect(removed.kill('SIGTERM')).toBe(true);
});
