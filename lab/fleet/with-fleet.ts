/** Runs something on a fleet and leaves no process behind, however that ends. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Environment } from '../../src/seams/environment.js';
import { configureFleet } from './configure-fleet.js';
import type { FleetFile } from './fleet-file.js';
import { Fleet } from './fleet.js';

/** What to run the fleet on. */
export interface FleetRun {
  readonly environment: Environment;
  readonly file: FleetFile;
  /** Kept afterwards; a temporary folder that is removed when absent. */
  readonly folder?: string | undefined;
  /** Ends the run. */
  readonly signal: AbortSignal;
}

/** Aborts on the first SIGINT or SIGTERM. */
export function stopSignal(): AbortSignal {
  const controller = new AbortController();
  const abort = (signal: NodeJS.Signals): void => controller.abort(new Error(`got ${signal}`));
  process.once('SIGINT', abort);
  process.once('SIGTERM', abort);
  return controller.signal;
}

/**
 * Starts a fleet, configures it, and runs `use`; every process has ended when
 * this returns or throws. `conclude` runs after the stop, while the files of
 * the fleet are still there.
 */
export async function withFleet<Used, Result>(
  { environment, file, folder, signal }: FleetRun,
  use: (fleet: Fleet) => Promise<Used>,
  conclude: (fleet: Fleet, used: Used) => Promise<Result>,
): Promise<Result> {
  const used = folder ?? (await mkdtemp(join(tmpdir(), 'driftway-fleet-')));
  const fleet = await Fleet.plan(file, used, signal);
  const run = async (): Promise<Used> => {
    await fleet.start();
    await configureFleet(environment, fleet, signal);
    return use(fleet);
  };
  try {
    const used = await run().finally(() => fleet.stop());
    return await conclude(fleet, used);
  } finally {
    if (folder === undefined) await rm(used, { recursive: true, force: true });
  }
}
