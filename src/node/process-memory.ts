/** Memory and descriptors of this process, as the operating system and Node count them. */
import { readFileSync, readdirSync } from 'node:fs';
import { totalmem } from 'node:os';
import { getHeapStatistics } from 'node:v8';
import type { MemoryReader, MemoryUse } from '../observability/memory-watch.js';

const DESCRIPTORS_FOLDER = '/proc/self/fd';
const LIMITS_FILE = '/proc/self/limits';
const DESCRIPTOR_LIMIT = /^Max open files\s+(\d+)/m;

/** Memory that the process may use where its settings name none: the container's or the machine's. Bytes. */
export function availableMemory(): number {
  const constrained = process.constrainedMemory();
  const total = totalmem();
  return constrained !== undefined && constrained > 0 ? Math.min(constrained, total) : total;
}

/** Undefined where the system has no such folder. */
function countOpenDescriptors(): number | undefined {
  try {
    return readdirSync(DESCRIPTORS_FOLDER).length;
  } catch {
    return undefined;
  }
}

/** Soft limit of open descriptors; undefined where the system doesn't tell it. */
export function descriptorLimit(): number | undefined {
  try {
    const [, limit] = DESCRIPTOR_LIMIT.exec(readFileSync(LIMITS_FILE, 'latin1')) ?? [];
    return limit === undefined ? undefined : Number(limit);
  } catch {
    return undefined;
  }
}

/** Largest heap that V8 was allowed; buffers lie outside. Bytes. */
export function heapLimit(): number {
  return getHeapStatistics().heap_size_limit;
}

/** Production {@link MemoryReader}. */
export const PROCESS_MEMORY: MemoryReader = {
  residentBytes: () => process.memoryUsage.rss(),
  read(): MemoryUse {
    const { rss, heapUsed, heapTotal, external, arrayBuffers } = process.memoryUsage();
    return {
      residentBytes: rss,
      heapUsedBytes: heapUsed,
      heapTotalBytes: heapTotal,
      externalBytes: external,
      bufferBytes: arrayBuffers,
      openDescriptors: countOpenDescriptors(),
    };
  },
};
