/** Processes that end at any moment, and machines that lose their power; the disk stays. */
import type { RandomSource } from '../../../src/seams/random-source.js';
import { chance, drawDuration, pick, type FaultPlan, type FaultTargets } from '../fault-plan.js';

const SHORTEST_DOWNTIME = 100;
const LONGEST_DOWNTIME = 10_000;

function drawVictims(
  random: RandomSource,
  { controllers, routers, backends }: FaultTargets,
): readonly string[] {
  if (chance(random, 0.15)) return controllers.slice(random.nextInteger(0, 1));
  if (chance(random, 0.4)) return [pick(random, controllers)];
  if (chance(random, 0.3)) return [pick(random, routers)];
  return [pick(random, backends)];
}

/** Draws one crash, now and then of two or all controllers at once. */
export function drawCrash(random: RandomSource, targets: FaultTargets): FaultPlan {
  const victims = drawVictims(random, targets);
  const power = chance(random, 0.3);
  const downtime = drawDuration(random, SHORTEST_DOWNTIME, LONGEST_DOWNTIME);
  return {
    text: `${power ? 'power loss' : 'crash'} of ${victims.join(', ')} for ${downtime} ms`,
    duration: 0,
    begin: (fleet) => {
      for (const name of victims) fleet.process(name).crash({ power, downtime });
    },
  };
}
