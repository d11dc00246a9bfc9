/** A worker thread that runs the seeds it is sent; nothing is shared between threads. */
import { parentPort } from 'node:worker_threads';
import { SeedRun } from './seed-run.js';
import type { SeedJob, SeedReply } from './seed-pool.js';

parentPort?.on('message', (job: SeedJob) => {
  new SeedRun(job.seed, job.options).run().then(
    (result) => parentPort?.postMessage({ result } satisfies SeedReply),
    (error: unknown) => {
      const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
      parentPort?.postMessage({ error: reason } satisfies SeedReply);
    },
  );
});
