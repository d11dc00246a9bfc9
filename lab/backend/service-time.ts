/** How long a stand-in back end works on a request. */
import * as z from 'zod';
import type { RandomSource } from '../../src/seams/random-source.js';

/** Distribution of the usual case. Milliseconds. */
export const serviceTimeDistributionSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('constant'), mean: z.number().min(0) }),
  z.strictObject({ kind: z.literal('exponential'), mean: z.number().min(0) }),
  z.strictObject({
    kind: z.literal('lognormal'),
    median: z.number().min(0),
    /** Standard deviation of the logarithm; 0.5 gives a moderate tail. */
    sigma: z.number().min(0).max(4),
  }),
]);

/** A share of requests that takes many times longer. */
export const stragglerSchema = z.strictObject({
  /** Share of requests, 0 to 1. */
  share: z.number().min(0).max(1),
  minimumFactor: z.number().min(1),
  maximumFactor: z.number().min(1),
});

export const serviceTimeSchema = z.strictObject({
  distribution: serviceTimeDistributionSchema,
  stragglers: stragglerSchema.default({ share: 0, minimumFactor: 10, maximumFactor: 50 }),
});
export type ServiceTimeModel = z.infer<typeof serviceTimeSchema>;
export type ServiceTimeDistribution = z.infer<typeof serviceTimeDistributionSchema>;

/** A standard normal deviate, by the Box-Muller transform. */
function normalDeviate(random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.nextFloat()));
  return radius * Math.cos(2 * Math.PI * random.nextFloat());
}

function drawUsual(distribution: ServiceTimeDistribution, random: RandomSource): number {
  switch (distribution.kind) {
    case 'constant':
      return distribution.mean;
    case 'exponential':
      return -distribution.mean * Math.log(1 - random.nextFloat());
    case 'lognormal':
      return distribution.median * Math.exp(distribution.sigma * normalDeviate(random));
  }
}

/** Draws one service time. Milliseconds. */
export function drawServiceTime(model: ServiceTimeModel, random: RandomSource): number {
  const usual = drawUsual(model.distribution, random);
  const { share, minimumFactor, maximumFactor } = model.stragglers;
  if (share === 0 || random.nextFloat() >= share) return usual;
  return usual * (minimumFactor + random.nextFloat() * (maximumFactor - minimumFactor));
}
