/** What all processes of one role have used so far, and the difference of two readings. */
import type { ProcessUsage } from '../measure/process-usage.js';
import type { MessageCounts } from './counted-network.js';

/** One role's processes together. */
export interface RoleTotals {
  /** Milliseconds; when the first process answered. */
  readonly at: number;
  readonly cpuMicroseconds: number;
  readonly bytes: number;
  readonly frames: number;
  /** CPU of each process, in the order of the processes. Microseconds. */
  readonly cpuOfEach: readonly number[];
}

/** Use between two readings. */
export interface RoleUse {
  readonly milliseconds: number;
  readonly cpuMicroseconds: number;
  /** Sent and received. */
  readonly bytes: number;
  readonly frames: number;
  /** Of the process that used most CPU. Microseconds. */
  readonly largestCpuMicroseconds: number;
}

/** What children of both roles serve. */
export interface RoleChild {
  call(operation: 'usage', collect: boolean): Promise<ProcessUsage>;
  call(operation: 'counts', input: undefined): Promise<MessageCounts>;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Reads all processes of a role at nearly one moment. */
export async function readTotals(children: readonly RoleChild[]): Promise<RoleTotals> {
  const at = performance.now();
  const [usages, counts] = await Promise.all([
    Promise.all(children.map((child) => child.call('usage', false))),
    Promise.all(children.map((child) => child.call('counts', undefined))),
  ]);
  const cpuOfEach = usages.map((usage) => usage.cpuMicroseconds);
  return {
    at,
    cpuMicroseconds: sum(cpuOfEach),
    bytes: sum(counts.map(({ sentBytes, receivedBytes }) => sentBytes + receivedBytes)),
    frames: sum(counts.map(({ sentFrames, receivedFrames }) => sentFrames + receivedFrames)),
    cpuOfEach,
  };
}

/** What was used from `before` to `after`. */
export function useBetween(before: RoleTotals, after: RoleTotals): RoleUse {
  const cpuOfEach = after.cpuOfEach.map((cpu, index) => cpu - (before.cpuOfEach[index] ?? 0));
  return {
    milliseconds: after.at - before.at,
    cpuMicroseconds: after.cpuMicroseconds - before.cpuMicroseconds,
    bytes: after.bytes - before.bytes,
    frames: after.frames - before.frames,
    largestCpuMicroseconds: Math.max(0, ...cpuOfEach),
  };
}

/** What `use` holds beyond what the same time takes at rest. */
export function beyondRest(use: RoleUse, rest: RoleUse): RoleUse {
  const share = use.milliseconds / rest.milliseconds;
  return {
    milliseconds: use.milliseconds,
    cpuMicroseconds: use.cpuMicroseconds - rest.cpuMicroseconds * share,
    bytes: use.bytes - rest.bytes * share,
    frames: use.frames - rest.frames * share,
    largestCpuMicroseconds: use.largestCpuMicroseconds - rest.largestCpuMicroseconds * share,
  };
}

/** Memory of all processes of a role, after a full collection in each. Bytes. */
export async function readMemory(
  children: readonly RoleChild[],
): Promise<{ resident: number; managed: number }> {
  const usages = await Promise.all(children.map((child) => child.call('usage', true)));
  return {
    resident: sum(usages.map((usage) => usage.residentBytes)),
    managed: sum(usages.map((usage) => usage.heapBytes + usage.externalBytes)),
  };
}
