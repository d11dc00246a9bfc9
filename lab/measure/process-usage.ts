/** What a process has used so far, read by the process itself. */

/** One reading. */
export interface ProcessUsage {
  /** Monotonic time of the process. Milliseconds. */
  readonly at: number;
  /** User and system time since it started. Microseconds. */
  readonly cpuMicroseconds: number;
  /** Resident set. Bytes. */
  readonly residentBytes: number;
  /** JavaScript heap in use; after a full collection where the process can force one. Bytes. */
  readonly heapBytes: number;
  /** Memory of buffers outside the heap. Bytes. */
  readonly externalBytes: number;
}

/** Forces a full collection when the process was started with `--expose-gc`. */
function collectGarbage(): void {
  const { gc } = globalThis as { gc?: () => void };
  gc?.();
}

/** Reads CPU first, so that the collection does not count as work of the process. */
export function readProcessUsage(collect: boolean): ProcessUsage {
  const { user, system } = process.cpuUsage();
  const at = performance.now();
  if (collect) collectGarbage();
  const { rss, heapUsed, external } = process.memoryUsage();
  return {
    at,
    cpuMicroseconds: user + system,
    residentBytes: rss,
    heapBytes: heapUsed,
    externalBytes: external,
  };
}

/** Share of one core used between two readings; 1 is a whole core. */
export function coreShare(before: ProcessUsage, after: ProcessUsage): number {
  return (after.cpuMicroseconds - before.cpuMicroseconds) / ((after.at - before.at) * 1_000);
}
