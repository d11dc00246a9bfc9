/** A trial run of the router under Node's sampling profiler; its figures are no measurement. */
import { mkdtemp, readFile, readdir, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  summarizeCpuProfile,
  type CpuProfile,
  type ProfileSummary,
} from './cpu-profile-summary.js';
import { RouterBench } from './router-bench.js';
import type { RouterCostOptions } from './router-cost-options.js';

const PROFILED_FAN_OUT = 24;
const PROFILED_INTERVALS = 3;

async function readProfile(folder: string): Promise<ProfileSummary> {
  const [file] = await readdir(folder);
  if (file === undefined) throw new Error('the router wrote no profile');
  const text = await readFile(join(folder, file), 'utf8');
  return summarizeCpuProfile(JSON.parse(text) as CpuProfile);
}

/** Profiles the router under the load of the cost measurement at a fan-out of 24. */
export async function profileRouter(options: RouterCostOptions): Promise<ProfileSummary> {
  const folder = await mkdtemp(join(tmpdir(), 'driftway-profile-'));
  try {
    const bench = await RouterBench.start({
      fanOut: PROFILED_FAN_OUT,
      backendProcesses: options.backendProcesses,
      connections: 800,
      serviceTime: 2,
      routerFlags: ['--cpu-prof', `--cpu-prof-dir=${folder}`],
    });
    const queriesPerSecond = options.backendRequestsPerSecond / PROFILED_FAN_OUT;
    try {
      await bench.load.call('start', { port: bench.routerPort, queriesPerSecond });
      await sleep(options.interval * PROFILED_INTERVALS);
      await bench.load.call('stop', undefined);
    } finally {
      await bench.stop();
    }
    return await readProfile(folder);
  } finally {
    await rm(folder, { recursive: true });
  }
}
