/** Series of control runs over one size each, with a line for every quantity. */
import type { Progress } from '../measure/progress.js';
import type { ControlSize } from './control-bench.js';
import {
  readControl,
  type ControlPace,
  type ControlReading,
  type RoleReading,
} from './control-reading.js';
import type { RoleUse } from './role-totals.js';
import { fitSlopes, type Slope, type SlopeDefinition } from './slope.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Runs of one series; the other two sizes stay as they are. */
export interface ControlSeries {
  readonly over: keyof ControlSize;
  readonly readings: readonly ControlReading[];
  readonly slopes: readonly Slope[];
}

type Definition = SlopeDefinition<ControlReading>;

function perSecond(use: RoleUse, amount: number): number {
  return (amount / use.milliseconds) * MILLISECONDS_PER_SECOND;
}

/** CPU as microseconds in each second: 10,000 is one hundredth of a core. */
function roleDefinitions(
  role: string,
  read: (reading: ControlReading) => RoleReading,
): Definition[] {
  return [
    {
      quantity: `${role}: messages at rest`,
      unit: 'bytes/s',
      read: (reading) => perSecond(read(reading).rest, read(reading).rest.bytes),
    },
    {
      quantity: `${role}: frames at rest`,
      unit: 'frames/s',
      read: (reading) => perSecond(read(reading).rest, read(reading).rest.frames),
    },
    {
      quantity: `${role}: CPU at rest`,
      unit: 'µs/s',
      read: (reading) => perSecond(read(reading).rest, read(reading).rest.cpuMicroseconds),
    },
    {
      quantity: `${role}: messages for one change`,
      unit: 'bytes',
      read: (reading) => read(reading).eachChange.bytes,
    },
    {
      quantity: `${role}: CPU for one change`,
      unit: 'µs',
      read: (reading) => read(reading).eachChange.cpuMicroseconds,
    },
    {
      quantity: `${role}: resident memory`,
      unit: 'bytes',
      read: (reading) => read(reading).memory.resident,
    },
    {
      quantity: `${role}: heap and buffers`,
      unit: 'bytes',
      read: (reading) => read(reading).memory.managed,
    },
  ];
}

const DEFINITIONS: readonly Definition[] = [
  ...roleDefinitions('daemons that share processes', (reading) => reading.sharedDaemons),
  ...roleDefinitions('3 lone daemons', (reading) => reading.loneDaemons),
  ...roleDefinitions('all controllers', (reading) => reading.controllers),
  {
    quantity: 'busiest controller: CPU at rest',
    unit: 'µs/s',
    read: ({ controllers }) => perSecond(controllers.rest, controllers.rest.largestCpuMicroseconds),
  },
  {
    quantity: 'change accepted, median',
    unit: 'ms',
    read: ({ loneInForce }) => loneInForce.acceptedMedian,
  },
  {
    quantity: 'change in force at lone daemons, median',
    unit: 'ms',
    read: ({ loneInForce }) => loneInForce.median,
  },
  {
    quantity: 'change in force at lone daemons, longest',
    unit: 'ms',
    read: ({ loneInForce }) => loneInForce.maximum,
  },
  {
    quantity: 'change in force at daemons that share processes, p99',
    unit: 'ms',
    read: ({ sharedInForce }) => sharedInForce.p99,
  },
  {
    quantity: 'all daemons started at once hold the configuration',
    unit: 'ms',
    read: (reading) => reading.startMilliseconds,
  },
  {
    quantity: 'one controller: log for one change',
    unit: 'bytes',
    read: (reading) => reading.logBytesEachChange,
  },
];

/** Reads every size, one after the other, and draws the lines over `over`. */
export async function measureControlSeries(
  over: keyof ControlSize,
  sizes: readonly ControlSize[],
  pace: ControlPace,
  progress: Progress,
): Promise<ControlSeries> {
  const readings: ControlReading[] = [];
  for (const size of sizes) {
    const { controllers, daemons, replicas } = size;
    progress(`${controllers} controllers, ${daemons} daemons, ${replicas} replicas`);
    const reading = await readControl(size, pace);
    const { loneInForce, sharedInForce, startMilliseconds } = reading;
    progress(
      `  started in ${Math.round(startMilliseconds)} ms; in force at lone daemons p50 ` +
        `${loneInForce.median.toFixed(1)} ms, at all p99 ${sharedInForce.p99.toFixed(1)} ms`,
    );
    readings.push(reading);
  }
  return {
    over,
    readings,
    slopes: fitSlopes(readings, over, ({ size }) => size[over], DEFINITIONS),
  };
}
