/** New index versions, which reach the replicas of a service one after the other. */
import type { RandomSource } from '../../../src/seams/random-source.js';
import { drawDuration, pick, type FaultPlan, type FaultTargets } from '../fault-plan.js';

const SHORTEST_SPREAD = 50;
const LONGEST_SPREAD = 8_000;

/** Draws one publish. */
export function drawPublish(random: RandomSource, { services }: FaultTargets): FaultPlan {
  const service = pick(random, services);
  const spread = drawDuration(random, SHORTEST_SPREAD, LONGEST_SPREAD);
  return {
    text: `publish of ${service} over ${spread} ms`,
    duration: 0,
    begin: (fleet) => fleet.publish(service, spread),
  };
}
