/** Disks of controllers that are slow, full or fail to sync; writes not synced are lost in crashes. */
import type { RandomSource } from '../../../src/seams/random-source.js';
import type { Fleet } from '../fleet.js';
import { drawDuration, pick, type FaultPlan, type FaultTargets } from '../fault-plan.js';

const SHORTEST = 100;
const LONGEST = 8_000;
const MOST_SLOWNESS = 300;

const FAILURES = ['slow', 'full', 'failing syncs', 'torn at a crash'] as const;

/** Draws one disk fault. */
export function drawDiskFault(random: RandomSource, { controllers }: FaultTargets): FaultPlan {
  const name = pick(random, controllers);
  const failure = pick(random, FAILURES);
  const slowness = random.nextInteger(2, MOST_SLOWNESS);
  const duration = drawDuration(random, SHORTEST, LONGEST);
  const set = (fleet: Fleet, on: boolean): void => {
    const process = fleet.process(name);
    const { faults } = process.machine.volume;
    if (failure === 'slow') faults.slowness = on ? slowness : 1;
    if (failure === 'full') faults.failWrites = on;
    if (failure === 'failing syncs') faults.failSyncs = on;
    // Slow first, so that the crash comes upon writes that are not synced yet.
    if (failure === 'torn at a crash') {
      faults.slowness = on ? slowness : 1;
      if (!on) process.crash({ power: true, downtime: SHORTEST });
    }
  };
  return {
    text: `disk of ${name} ${failure}`,
    duration,
    begin: (fleet) => set(fleet, true),
    end: (fleet) => set(fleet, false),
  };
}
