/** Links that drop everything in silence, one way or both, between machines or zones. */
import type { LinkSelector } from '../../simulation/link-table.js';
import type { RandomSource } from '../../../src/seams/random-source.js';
import { chance, drawDuration, pick, type FaultPlan, type FaultTargets } from '../fault-plan.js';

const SHORTEST = 50;
const LONGEST = 15_000;

function describe({ machine, zone }: LinkSelector): string {
  return machine ?? `zone ${zone ?? ''}`;
}

/** Callers are never cut off from routers: a lost answer would look like a router's fault. */
function drawEnds(
  random: RandomSource,
  { controllers, routers, backends, zones }: FaultTargets,
): readonly [LinkSelector, LinkSelector] {
  const daemons = [...controllers, ...routers];
  if (chance(random, 0.25)) {
    const zone = pick(random, zones);
    const others = zones.filter((other) => other !== zone);
    return [{ zone }, { zone: pick(random, others) }];
  }
  if (chance(random, 0.4)) {
    return [{ machine: pick(random, routers) }, { machine: pick(random, backends) }];
  }
  const machine = pick(random, daemons);
  if (controllers.includes(machine) && chance(random, 0.3)) return [{ machine }, {}];
  const others = daemons.filter((other) => other !== machine);
  return [{ machine }, { machine: pick(random, others) }];
}

/** Draws one cut. */
export function drawCut(random: RandomSource, targets: FaultTargets): FaultPlan {
  const [left, right] = drawEnds(random, targets);
  const bothWays = chance(random, 0.5);
  const swapped = chance(random, 0.5);
  const [from, to] = swapped ? [right, left] : [left, right];
  const duration = drawDuration(random, SHORTEST, LONGEST);
  const rules: number[] = [];
  return {
    text: `cut ${describe(from)} ${bothWays ? '<->' : '->'} ${describe(to)}`,
    duration,
    begin: ({ simulation }) => {
      rules.push(simulation.cut({ from, to }));
      if (bothWays) rules.push(simulation.cut({ from: to, to: from }));
    },
    end: ({ simulation }) => {
      for (const rule of rules) simulation.heal(rule);
    },
  };
}
