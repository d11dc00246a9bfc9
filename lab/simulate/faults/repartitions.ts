/** Services that are split anew while they are queried. */
import type { RandomSource } from '../../../src/seams/random-source.js';
import { chance, drawDuration, pick, type FaultPlan, type FaultTargets } from '../fault-plan.js';

const SHORTEST_SPREAD = 50;
const LONGEST_SPREAD = 4_000;

/** Draws one repartition. */
export function drawRepartition(random: RandomSource, targets: FaultTargets): FaultPlan {
  const service = pick(random, targets.shardedServices);
  const grow = chance(random, 0.5);
  const spread = drawDuration(random, SHORTEST_SPREAD, LONGEST_SPREAD);
  return {
    text: `repartition of ${service} into ${grow ? 'more' : 'fewer'} shards over ${spread} ms`,
    duration: 0,
    begin: ({ repartitioner }) => void repartitioner?.repartition(service, grow, spread),
  };
}
