import { buildSync } from 'esbuild';
import { Worker } from 'node:worker_threads';
import { describe, expect, it } from 'vitest';

/** Old space of the worker; a gateway has 160 MB for everything. */
const HEAP_MB = 32;
const PART_BYTES = 4 * 1024 * 1024;
const PARTS = 4;

/** Merges equal records in a process that has little heap; resolves with the length of the result. */
function mergeInSmallHeap(): Promise<number> {
  const built = buildSync({
    entryPoints: ['src/gateway/merge-records.ts'],
    bundle: true,
    platform: 'node',
    format: 'cjs',
    write: false,
  });
  const script = `${built.outputFiles[0]?.text ?? ''}
    const parts = Array.from({ length: ${PARTS} }, () => Buffer.alloc(${PART_BYTES}, 'a'));
    require('node:worker_threads').parentPort.postMessage(mergeRecords(parts, 5).length);`;
  return new Promise((resolve, reject) => {
    const worker = new Worker(script, {
      eval: true,
      resourceLimits: { maxOldGenerationSizeMb: HEAP_MB },
    });
    worker.once('message', resolve);
    worker.once('error', reject);
  });
}

describe('parts with very many equal records', () => {
  // Guards against an object for each of them: three times their bytes, on the heap.
  it('are merged without an object for each record', async () => {
    expect(await mergeInSmallHeap()).toBe(5 * 16);
  });
});
