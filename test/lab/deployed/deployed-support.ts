/** A deployed fleet for one test, in a folder of its own. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { buildDeployed } from '../../../lab/deployed/deployed-build.js';
import { DeployedFleet, type DeployedFleetOptions } from '../../../lab/deployed/deployed-fleet.js';

type Size = Partial<Omit<DeployedFleetOptions, 'build' | 'folder'>>;

/** Runs `use` on a fleet that isn't started yet; no process is left afterwards. */
export async function withDeployedFleet(
  size: Size,
  use: (fleet: DeployedFleet) => Promise<void>,
): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'driftway-deployed-'));
  const build = await buildDeployed(process.cwd());
  const fleet = new DeployedFleet({ controllers: 3, gateways: 3, ...size, build, folder });
  try {
    await fleet.prepare();
    await use(fleet);
  } finally {
    await fleet.stop();
    await rm(folder, { recursive: true, force: true });
  }
}
