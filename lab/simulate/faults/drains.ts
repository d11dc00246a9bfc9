/** Planned restarts: of a back end after a drain, of a router, of a controller. */
import type { RandomSource } from '../../../src/seams/random-source.js';
import { chance, drawDuration, pick, type FaultPlan, type FaultTargets } from '../fault-plan.js';

const SHORTEST_DOWNTIME = 100;
const LONGEST_DOWNTIME = 5_000;

function drawLeaver(
  random: RandomSource,
  { controllers, routers, backends }: FaultTargets,
): string {
  if (chance(random, 0.6)) return pick(random, backends);
  return chance(random, 0.6) ? pick(random, routers) : pick(random, controllers);
}

/** Draws one planned restart. */
export function drawDrain(random: RandomSource, targets: FaultTargets): FaultPlan {
  const name = drawLeaver(random, targets);
  const downtime = drawDuration(random, SHORTEST_DOWNTIME, LONGEST_DOWNTIME);
  return {
    text: `planned restart of ${name}`,
    duration: 0,
    begin: (fleet) => fleet.process(name).restart(downtime),
  };
}
