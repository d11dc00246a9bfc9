/** Clocks of daemons that jump, and clocks that run too fast or too slow after a restart. */
import type { RandomSource } from '../../../src/seams/random-source.js';
import { chance, drawDuration, pick, type FaultPlan, type FaultTargets } from '../fault-plan.js';

const SHORTEST = 500;
const LONGEST = 20_000;
/** Largest jump of the time of day, forward or back. Milliseconds. */
const LARGEST_JUMP = 3_600_000;
/** Largest error of the rate of a clock; far more than that of any quartz. */
const LARGEST_DRIFT = 0.02;
const DOWNTIME = 100;

/** The time of day of one daemon is wrong for a while, and jumps back. */
function drawJump(random: RandomSource, name: string): FaultPlan {
  const jump = random.nextInteger(-LARGEST_JUMP, LARGEST_JUMP);
  return {
    text: `time of day of ${name} off by ${jump} ms`,
    duration: drawDuration(random, SHORTEST, LONGEST),
    begin: (fleet) => fleet.process(name).machine.skew(jump),
    end: (fleet) => fleet.process(name).machine.skew(0),
  };
}

/** Every clock of the daemon's processes runs at another rate from its restart on. */
function drawDrift(random: RandomSource, name: string): FaultPlan {
  const rate = 1 + LARGEST_DRIFT * (2 * random.nextFloat() - 1);
  return {
    text: `${name} restarts with a clock of rate ${rate.toFixed(4)}`,
    duration: 0,
    begin: (fleet) => {
      const process = fleet.process(name);
      process.machine.drift(rate);
      process.restart(DOWNTIME);
    },
  };
}

/** Draws one; back ends keep true clocks, since their incarnations must grow. */
export function drawSkew(random: RandomSource, targets: FaultTargets): FaultPlan {
  const name = pick(random, [...targets.controllers, ...targets.routers]);
  return chance(random, 0.7) ? drawJump(random, name) : drawDrift(random, name);
}
