/**
 * What a router pays for each replica that it knows: the polls of its report
 * and, apart from them, the memory of the record and of the connection. Replicas
 * that refuse every connection show the record alone.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { ReplicaDefinition } from '../../src/model/service-definition.js';
import { MeasuredChild } from '../measure/child-process.js';
import { coreShare } from '../measure/process-usage.js';
import type { Progress } from '../measure/progress.js';
import type { HollowReplicaOperations } from './hollow-replica-child.js';
import type { RegistryChildOperations } from './registry-child.js';
import { scaleReplica } from './scale-configuration.js';
import { fitSlopes, type Slope } from './slope.js';

const REPLICA_PROCESSES = 3;
const MICROSECONDS_PER_SECOND = 1e6;

/** Sizes and times of the series. */
export interface RegistryOptions {
  readonly replicas: readonly number[];
  readonly zones: number;
  /** Milliseconds. */
  readonly settle: number;
  /** Milliseconds. */
  readonly interval: number;
}

/** One number of replicas. */
export interface RegistryReading {
  readonly replicas: number;
  /** Whether they answer; otherwise every connection is refused. */
  readonly reachable: boolean;
  /** Reports given since the start. */
  readonly reports: number;
  readonly pollsPerSecond: number;
  /** Of all polls, both ways. */
  readonly bytesPerSecond: number;
  /** 1 is a whole core. */
  readonly coreShare: number;
  readonly residentBytes: number;
  readonly managedBytes: number;
  /** Replicas whose reports did not arrive in time at the end. */
  readonly suspect: number;
}

/** Both series. */
export interface RegistrySeries {
  readonly readings: readonly RegistryReading[];
  readonly slopes: readonly Slope[];
}

class HollowReplicas {
  private readonly children: MeasuredChild<HollowReplicaOperations>[] = [];

  async start(count: number, zones: number): Promise<ReplicaDefinition[]> {
    const perProcess = Math.ceil(count / REPLICA_PROCESSES);
    const definitions: ReplicaDefinition[] = [];
    for (let firstIndex = 0; firstIndex < count; firstIndex += perProcess) {
      const child = new MeasuredChild<HollowReplicaOperations>({
        module: new URL('./hollow-replica-child.js', import.meta.url),
      });
      this.children.push(child);
      const size = Math.min(perProcess, count - firstIndex);
      definitions.push(...(await child.call('start', { firstIndex, count: size, zones })));
    }
    return definitions;
  }

  async read(counter: 'reports' | 'socketBytes'): Promise<number> {
    const counts = await Promise.all(this.children.map((child) => child.call(counter, undefined)));
    return counts.reduce((total, count) => total + count, 0);
  }

  async stop(): Promise<void> {
    await Promise.all(this.children.map((child) => child.stop()));
  }
}

/** Port 1 is reserved and nothing listens on it here. */
const REFUSING_PORT = 1;

function refusingReplicas(count: number, zones: number): ReplicaDefinition[] {
  return Array.from({ length: count }, (_, index) => scaleReplica(index, zones, REFUSING_PORT));
}

function readCounters(replicas: HollowReplicas): Promise<[number, number]> {
  return Promise.all([replicas.read('reports'), replicas.read('socketBytes')]);
}

async function readOne(
  count: number,
  reachable: boolean,
  options: RegistryOptions,
): Promise<RegistryReading> {
  const replicas = new HollowReplicas();
  const registry = new MeasuredChild<RegistryChildOperations>({
    module: new URL('./registry-child.js', import.meta.url),
  });
  try {
    const { zones, settle, interval } = options;
    const definitions = reachable
      ? await replicas.start(count, zones)
      : refusingReplicas(count, zones);
    await registry.call('hold', definitions);
    await sleep(settle);
    const { residentBytes, heapBytes, externalBytes } = await registry.call('usage', true);
    const before = await registry.call('usage', false);
    const [reportsBefore, bytesBefore] = await readCounters(replicas);
    await sleep(interval);
    const after = await registry.call('usage', false);
    const [reportsAfter, bytesAfter] = await readCounters(replicas);
    const seconds = (after.at - before.at) / 1_000;
    return {
      replicas: count,
      reachable,
      reports: reportsAfter,
      pollsPerSecond: (reportsAfter - reportsBefore) / seconds,
      bytesPerSecond: (bytesAfter - bytesBefore) / seconds,
      coreShare: coreShare(before, after),
      residentBytes,
      managedBytes: heapBytes + externalBytes,
      suspect: await registry.call('countSuspect', undefined),
    };
  } finally {
    await Promise.all([registry.stop(), replicas.stop()]);
  }
}

function fitReadings(readings: readonly RegistryReading[], kind: string): Slope[] {
  return fitSlopes(readings, 'replicas', ({ replicas }) => replicas, [
    {
      quantity: `router, ${kind} replicas: CPU of polls`,
      unit: 'µs/s',
      read: (reading) => reading.coreShare * MICROSECONDS_PER_SECOND,
    },
    {
      quantity: `router, ${kind} replicas: bytes of polls`,
      unit: 'bytes/s',
      read: (reading) => reading.bytesPerSecond,
    },
    {
      quantity: `router, ${kind} replicas: resident memory`,
      unit: 'bytes',
      read: (reading) => reading.residentBytes,
    },
    {
      quantity: `router, ${kind} replicas: heap and buffers`,
      unit: 'bytes',
      read: (reading) => reading.managedBytes,
    },
  ]);
}

/** Reads every size with replicas that answer and with such that refuse. */
export async function measureRegistrySeries(
  options: RegistryOptions,
  progress: Progress,
): Promise<RegistrySeries> {
  const readings: RegistryReading[] = [];
  for (const reachable of [true, false]) {
    for (const count of options.replicas) {
      const reading = await readOne(count, reachable, options);
      readings.push(reading);
      const share = `${(reading.coreShare * 100).toFixed(1)}% of a core`;
      const polls = `${Math.round(reading.pollsPerSecond)} polls/s`;
      progress(`registry of ${count} ${reachable ? 'reachable' : 'refusing'}: ${share}, ${polls}`);
    }
  }
  return {
    readings,
    slopes: [
      ...fitReadings(
        readings.filter((reading) => reading.reachable),
        'reachable',
      ),
      ...fitReadings(
        readings.filter((reading) => !reading.reachable),
        'refusing',
      ),
    ],
  };
}
