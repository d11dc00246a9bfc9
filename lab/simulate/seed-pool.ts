/** Runs seeds on worker threads and hands over the results in order of seed. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import type { SeedResult } from './seed-result.js';
import { SeedRun } from './seed-run.js';
import type { SimulateOptions } from './simulate-options.js';

/** What a worker is sent. */
export interface SeedJob {
  readonly seed: number;
  readonly options: SimulateOptions;
}

/** What it sends back. */
export type SeedReply = { readonly result: SeedResult } | { readonly error: string };

/** A run ended in an error of the simulator itself, or of a daemon past its own handling. */
export class SeedRunError extends Error {}

const WORKER_FILE = new URL('./seed-worker.js', import.meta.url);

async function runSeedOn(worker: Worker, job: SeedJob): Promise<SeedResult> {
  worker.postMessage(job);
  const [reply] = (await once(worker, 'message')) as [SeedReply];
  if ('error' in reply) throw new SeedRunError(`seed ${job.seed}: ${reply.error}`);
  return reply.result;
}

/** Results become available in any order and are given in the order of the seeds. */
class OrderedResults {
  private readonly waiting = new Map<number, SeedResult>();
  private next = 0;

  constructor(
    private readonly seeds: readonly number[],
    private readonly onResult: (result: SeedResult) => void,
  ) {}

  add(result: SeedResult): void {
    this.waiting.set(result.seed, result);
    for (;;) {
      const seed = this.seeds[this.next];
      const ready = seed === undefined ? undefined : this.waiting.get(seed);
      if (ready === undefined) return;
      this.waiting.delete(ready.seed);
      this.next += 1;
      this.onResult(ready);
    }
  }
}

/**
 * Runs all seeds on `workers` threads, or in this one when it is 1.
 *
 * @throws SeedRunError when a run does not come to its end.
 */
export async function runSeeds(
  seeds: readonly number[],
  options: SimulateOptions,
  workers: number,
  onResult: (result: SeedResult) => void,
): Promise<void> {
  const results = new OrderedResults(seeds, onResult);
  if (workers === 1) {
    for (const seed of seeds) results.add(await new SeedRun(seed, options).run());
    return;
  }
  const queue = [...seeds];
  const serve = async (): Promise<void> => {
    const worker = new Worker(WORKER_FILE);
    try {
      for (let seed = queue.shift(); seed !== undefined; seed = queue.shift()) {
        results.add(await runSeedOn(worker, { seed, options }));
      }
    } finally {
      await worker.terminate();
    }
  };
  const count = Math.min(workers, seeds.length);
  await Promise.all(Array.from({ length: count }, () => serve()));
}
