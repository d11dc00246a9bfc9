/** Random numbers from pure-rand, reproducible from a seed. */
import { randomInt } from 'node:crypto';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { RandomSource } from '../seams/random-source.js';

const FLOAT_STEPS = 2 ** 32;
const MAXIMUM_SEED = 2 ** 31 - 1;

/** {@link RandomSource} over a seeded xoroshiro128+ generator. */
export class PureRandomSource implements RandomSource {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A source that differs from run to run. */
  static fromSystem(): PureRandomSource {
    return new PureRandomSource(randomInt(MAXIMUM_SEED));
  }

  nextFloat(): number {
    return uniformInt(this.generator, 0, FLOAT_STEPS - 1) / FLOAT_STEPS;
  }

  nextInteger(minimum: number, maximum: number): number {
    return uniformInt(this.generator, minimum, maximum);
  }

  nextIdentifier(bytes: number): string {
    let identifier = '';
    for (let index = 0; index < bytes; index += 1) {
      identifier += uniformInt(this.generator, 0, 255).toString(16).padStart(2, '0');
    }
    return identifier;
  }
}
