/** Draws when which fault strikes: each kind at random moments of its own, so that they overlap. */
import { drawArrivalTimes } from '../bench/poisson-arrivals.js';
import { seededRandom } from '../simulation/seeded-random.js';
import type { FaultKind } from './fault-kinds.js';
import type { DrawFault, FaultTargets, ScheduledFault } from './fault-plan.js';
import { drawCrash } from './faults/crashes.js';
import { drawCut } from './faults/cuts.js';
import { drawDiskFault } from './faults/disks.js';
import { drawDrain } from './faults/drains.js';
import { drawPublish } from './faults/publishes.js';
import { drawRepartition } from './faults/repartitions.js';
import { drawSkew } from './faults/skew.js';
import { drawStraggler } from './faults/stragglers.js';

/** How a kind is drawn, and how often. `operators` strikes through the operators alone. */
interface KindSchedule {
  readonly draw: DrawFault;
  /** Mean faults in a second. */
  readonly rate: number;
}

const KIND_SCHEDULES: Partial<Record<FaultKind, KindSchedule>> = {
  cuts: { draw: drawCut, rate: 0.2 },
  crashes: { draw: drawCrash, rate: 0.15 },
  disks: { draw: drawDiskFault, rate: 0.1 },
  stragglers: { draw: drawStraggler, rate: 0.2 },
  publishes: { draw: drawPublish, rate: 0.15 },
  repartitions: { draw: drawRepartition, rate: 0.05 },
  drains: { draw: drawDrain, rate: 0.15 },
  skew: { draw: drawSkew, rate: 0.1 },
};

/** What a schedule depends on. Virtual milliseconds. */
export interface ScheduleOptions {
  readonly seed: number;
  readonly kinds: readonly FaultKind[];
  readonly from: number;
  readonly to: number;
  readonly targets: FaultTargets;
}

/** The whole schedule, in order of time; each kind is drawn alike whatever the others are. */
export function drawSchedule(options: ScheduleOptions): ScheduledFault[] {
  const { seed, kinds, from, to, targets } = options;
  const faults = kinds.flatMap((kind) => {
    const schedule = KIND_SCHEDULES[kind];
    if (schedule === undefined) return [];
    const random = seededRandom(seed, `faults/${kind}`);
    return drawArrivalTimes(schedule.rate, from, to, random).map((at) => {
      const plan = schedule.draw(random, targets);
      return { ...plan, kind, at, duration: Math.min(plan.duration, to - at) };
    });
  });
  return faults
    .sort((left, right) => left.at - right.at)
    .map((fault, index) => ({ ...fault, number: index + 1 }));
}
