/** Runs something on a fleet and leaves no process behind, however that ends. */
import { mkdtemp, readdir, rm } from 'node:fs/promises';
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

/** Starts of a fleet whose ports another process of the machine took meanwhile. */
const START_ATTEMPTS = 5;
const PORT_TAKEN = /EADDRINUSE/;

/** A started fleet; one that cannot be started leaves no process behind. */
async function startFleet({ file, signal }: FleetRun, folder: string): Promise<Fleet> {
  for (let attempt = 1; ; attempt += 1) {
    const fleet = await Fleet.plan(file, folder, signal);
    try {
      await fleet.start();
      return fleet;
    } catch (error) {
      await fleet.stop();
      const isTaken = error instanceof Error && PORT_TAKEN.test(error.message);
      if (!isTaken || attempt === START_ATTEMPTS) throw error;
      // All of it was made by this attempt: the folder was empty.
      for (const name of await readdir(folder)) await rm(join(folder, name), { recursive: true });
    }
  }
}

/**
 * Starts a fleet, configures it, and runs `use`; every process has ended when
 * this returns or throws. `conclude` runs after the stop, while the files of
 * the fleet are still there.
 */
export async function withFleet<Used, Result>(
  run: FleetRun,
  use: (fleet: Fleet) => Promise<Used>,
  conclude: (fleet: Fleet, used: Used) => Promise<Result>,
): Promise<Result> {
  const { environment, folder, signal } = run;
  const files = folder ?? (await mkdtemp(join(tmpdir(), 'driftway-fleet-')));
  try {
    const fleet = await startFleet(run, files);
    const configured = configureFleet(environment, fleet, signal).then(() => use(fleet));
    const used = await configured.finally(() => fleet.stop());
    return await conclude(fleet, used);
  } finally {
    if (folder === undefined) await rm(files, { recursive: true, force: true });
  }
}
