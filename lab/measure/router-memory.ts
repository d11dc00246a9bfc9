/** Memory of the router for each idle caller connection and for each query in flight. */
import { setTimeout as sleep } from 'node:timers/promises';
import { fitLine, type LinearFit } from './linear-fit.js';
import type { ProcessUsage } from './process-usage.js';
import type { Progress } from './progress.js';
import { RouterBench, type BenchOptions } from './router-bench.js';
import type { RouterCostOptions } from './router-cost-options.js';

/** Longer than all readings of one series take together. Milliseconds. */
const HELD_SERVICE_TIME = 25_000;
/** After it, everything sent has reached the back ends. Milliseconds. */
const HOLD_SETTLE = 2_500;
/** Node's server closes idle connections after 5 s, so readings come sooner. Milliseconds. */
const IDLE_SETTLE = 1_500;
/** After it, the server has closed the idle connections of a reading. Milliseconds. */
const IDLE_CLOSE = 7_000;
/** Enough for all held queries within one router's share of a replica's connections. */
const HELD_CONNECTIONS = 8_000;

/** Memory over a count, in bytes for each. */
export interface MemoryFit {
  readonly resident: LinearFit;
  /** JavaScript heap and buffers, after a full collection. */
  readonly managed: LinearFit;
}

/** Memory for each query in flight at one fan-out. */
export interface InFlightMemory extends MemoryFit {
  readonly fanOut: number;
  /** Queries that ended while they were to be held, by HTTP status; readings are void if any. */
  readonly failedQueries: Readonly<Record<string, number>>;
}

/** What a router's memory depends on. */
export interface RouterMemory {
  readonly inFlight: readonly InFlightMemory[];
  readonly idleConnections: MemoryFit;
}

interface Reading {
  readonly count: number;
  readonly usage: ProcessUsage;
}

function fitMemory(readings: readonly Reading[]): MemoryFit {
  const points = (bytes: (usage: ProcessUsage) => number): LinearFit =>
    fitLine(readings.map(({ count, usage }) => ({ x: count, y: bytes(usage) })));
  return {
    resident: points((usage) => usage.residentBytes),
    managed: points((usage) => usage.heapBytes + usage.externalBytes),
  };
}

/** Adds load step by step and reads the router's memory after each. */
async function readSteps(
  bench: RouterBench,
  counts: readonly number[],
  settle: number,
  add: (count: number) => Promise<void>,
): Promise<Reading[]> {
  const readings: Reading[] = [];
  let present = 0;
  for (const count of counts) {
    if (count > present) await add(count - present);
    present = count;
    await sleep(settle);
    readings.push({ count, usage: await bench.router.call('usage', true) });
  }
  return readings;
}

async function withBench<T>(
  options: BenchOptions,
  run: (bench: RouterBench) => Promise<T>,
): Promise<T> {
  const bench = await RouterBench.start(options);
  try {
    await sleep(HOLD_SETTLE);
    return await run(bench);
  } finally {
    await bench.stop();
  }
}

function measureInFlight(options: RouterCostOptions, fanOut: number): Promise<InFlightMemory> {
  const { backendProcesses } = options;
  const sizes = { fanOut, backendProcesses, connections: HELD_CONNECTIONS };
  return withBench({ ...sizes, serviceTime: HELD_SERVICE_TIME }, async (bench) => {
    const { load, routerPort: port } = bench;
    const readings = await readSteps(bench, options.inFlightCounts, HOLD_SETTLE, (count) =>
      load.call('hold', { port, count }),
    );
    const { failed } = await load.call('counts', undefined);
    return { fanOut, failedQueries: failed, ...fitMemory(readings) };
  });
}

function measureIdle(options: RouterCostOptions): Promise<MemoryFit> {
  const { backendProcesses, idleCounts } = options;
  const sizes = { fanOut: 8, backendProcesses, connections: HELD_CONNECTIONS, serviceTime: 1 };
  return withBench(sizes, async (bench) => {
    const { load, routerPort: port } = bench;
    const readings: Reading[] = [];
    for (const count of idleCounts) {
      // Each size anew: connections of the step before are closed by then.
      if (count > 0) await load.call('connect', { port, count });
      await sleep(IDLE_SETTLE);
      readings.push({ count, usage: await bench.router.call('usage', true) });
      await sleep(IDLE_CLOSE);
    }
    return fitMemory(readings);
  });
}

/** Runs all memory series, one after the other. */
export async function measureRouterMemory(
  options: RouterCostOptions,
  progress: Progress,
): Promise<RouterMemory> {
  const inFlight: InFlightMemory[] = [];
  for (const fanOut of options.inFlightFanOuts) {
    progress(`memory in flight at fan-out ${fanOut}`);
    inFlight.push(await measureInFlight(options, fanOut));
  }
  progress('memory of idle connections');
  return { inFlight, idleConnections: await measureIdle(options) };
}
