/** One control run at one size: at rest, then under changes at fixed intervals. */
import { setTimeout as sleep } from 'node:timers/promises';
import { quantile } from '../measure/spread.js';
import type { RevisionArrivals } from './daemon-child.js';
import { ControlBench, type ControlSize, type MadeChange } from './control-bench.js';
import {
  beyondRest,
  readMemory,
  readTotals,
  useBetween,
  type RoleChild,
  type RoleUse,
} from './role-totals.js';
import { settingChange } from './scale-configuration.js';

/** How long a run is. Milliseconds. */
export interface ControlPace {
  /** From the start of the daemons to the first reading. */
  readonly settle: number;
  readonly rest: number;
  readonly changes: number;
  readonly changeInterval: number;
}

/** One role of one run, totals of all its processes. */
export interface RoleReading {
  readonly rest: RoleUse;
  /** From the first change until the last is in force everywhere, rest included. */
  readonly changing: RoleUse;
  /** Beyond rest, for one change. */
  readonly eachChange: RoleUse;
  /** Bytes after a full collection. */
  readonly memory: { readonly resident: number; readonly managed: number };
}

/** From the moment the operator sent a change, to one daemon. Milliseconds. */
export interface TimeInForce {
  readonly observations: number;
  /** Until the operator had the acceptance. */
  readonly acceptedMedian: number;
  readonly median: number;
  readonly p99: number;
  readonly maximum: number;
}

/** Everything one run found. */
export interface ControlReading {
  readonly size: ControlSize;
  readonly pace: ControlPace;
  /** Many to a process. */
  readonly sharedDaemons: RoleReading;
  /** One to a process, as in production. */
  readonly loneDaemons: RoleReading;
  readonly controllers: RoleReading;
  /** At daemons that share a process: one daemon's time holds the work of those before it. */
  readonly sharedInForce: TimeInForce;
  readonly loneInForce: TimeInForce;
  /** From the start of all daemons at once until each held the configuration. Milliseconds. */
  readonly startMilliseconds: number;
  /** Growth of one controller's log for one change. Bytes. */
  readonly logBytesEachChange: number;
  /** Syncs of all controllers' logs for one change. */
  readonly syncsEachChange: number;
}

type RoleName = 'sharedDaemons' | 'loneDaemons' | 'controllers';
type EachRole<T> = Readonly<Record<RoleName, T>>;

async function readRoles<T>(
  bench: ControlBench,
  read: (children: readonly RoleChild[]) => Promise<T>,
): Promise<EachRole<T>> {
  const [sharedDaemons, loneDaemons, controllers] = await Promise.all([
    read(bench.sharedDaemons),
    read(bench.loneDaemons),
    read(bench.controllers),
  ]);
  return { sharedDaemons, loneDaemons, controllers };
}

/** Each role's use while `work` runs. */
async function useDuring(
  bench: ControlBench,
  work: () => Promise<void>,
): Promise<EachRole<RoleUse>> {
  const before = await readRoles(bench, readTotals);
  await work();
  const after = await readRoles(bench, readTotals);
  const use = (role: RoleName): RoleUse => useBetween(before[role], after[role]);
  return {
    sharedDaemons: use('sharedDaemons'),
    loneDaemons: use('loneDaemons'),
    controllers: use('controllers'),
  };
}

function divide(use: RoleUse, by: number): RoleUse {
  return {
    milliseconds: use.milliseconds / by,
    cpuMicroseconds: use.cpuMicroseconds / by,
    bytes: use.bytes / by,
    frames: use.frames / by,
    largestCpuMicroseconds: use.largestCpuMicroseconds / by,
  };
}

async function makeChanges(bench: ControlBench, pace: ControlPace): Promise<MadeChange[]> {
  const made: MadeChange[] = [];
  for (let number = 0; number < pace.changes; number += 1) {
    const due = sleep(pace.changeInterval);
    made.push(await bench.change(settingChange(number)));
    await due;
  }
  await bench.waitUntilInForce();
  return made;
}

function readTimeInForce(
  arrivals: readonly RevisionArrivals[],
  made: readonly MadeChange[],
): TimeInForce {
  const sentAt = new Map(made.map((change) => [change.revision, change.sentAt]));
  const times = arrivals.flatMap(({ revision, at }) => {
    const sent = sentAt.get(revision);
    return sent === undefined ? [] : at.map((time) => time - sent);
  });
  return {
    observations: times.length,
    acceptedMedian: quantile(
      made.map((change) => change.acceptedAt - change.sentAt),
      0.5,
    ),
    median: quantile(times, 0.5),
    p99: quantile(times, 0.99),
    maximum: quantile(times, 1),
  };
}

async function sumOver(bench: ControlBench, operation: 'logBytes' | 'logSyncs'): Promise<number> {
  const values = await Promise.all(
    bench.controllers.map((child) => child.call(operation, undefined)),
  );
  return values.reduce((total, value) => total + value, 0);
}

async function readRunning(
  bench: ControlBench,
  pace: ControlPace,
  startMilliseconds: number,
): Promise<ControlReading> {
  await sleep(pace.settle);
  const memory = await readRoles(bench, readMemory);
  const rest = await useDuring(bench, () => sleep(pace.rest));
  await bench.takeArrivals();
  const [logBefore, syncsBefore] = [
    await sumOver(bench, 'logBytes'),
    await sumOver(bench, 'logSyncs'),
  ];
  let made: MadeChange[] = [];
  const changing = await useDuring(bench, async () => {
    made = await makeChanges(bench, pace);
  });
  const [logAfter, syncsAfter] = [
    await sumOver(bench, 'logBytes'),
    await sumOver(bench, 'logSyncs'),
  ];
  const role = (name: RoleName): RoleReading => ({
    rest: rest[name],
    changing: changing[name],
    eachChange: divide(beyondRest(changing[name], rest[name]), pace.changes),
    memory: memory[name],
  });
  const arrivals = await bench.takeArrivals();
  return {
    size: bench.size,
    pace,
    sharedDaemons: role('sharedDaemons'),
    loneDaemons: role('loneDaemons'),
    controllers: role('controllers'),
    sharedInForce: readTimeInForce(arrivals.shared, made),
    loneInForce: readTimeInForce(arrivals.lone, made),
    startMilliseconds,
    logBytesEachChange: (logAfter - logBefore) / pace.changes / bench.size.controllers,
    syncsEachChange: (syncsAfter - syncsBefore) / pace.changes,
  };
}

/** Starts the processes, reads them, and ends them. */
export async function readControl(size: ControlSize, pace: ControlPace): Promise<ControlReading> {
  const bench = await ControlBench.start(size);
  try {
    const startMilliseconds = await bench.startDaemons();
    return await readRunning(bench, pace, startMilliseconds);
  } finally {
    await bench.stop();
  }
}
