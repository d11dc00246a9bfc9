/** Independent random sources that are derived from one seed by name. */
import { xxh32 } from '@node-rs/xxhash';
import { PureRandomSource } from '../../src/node/pure-random-source.js';
import type { RandomSource } from '../../src/seams/random-source.js';

const LARGEST_SEED = 2 ** 31 - 1;
/** xoroshiro128+ begins alike for like seeds; its first numbers are dropped. */
const DROPPED_NUMBERS = 8;

/** The same seed and name give the same source; other names give unrelated ones. */
export function seededRandom(seed: number, name: string): RandomSource {
  const source = new PureRandomSource(xxh32(`${seed}/${name}`) & LARGEST_SEED);
  for (let count = 0; count < DROPPED_NUMBERS; count += 1) source.nextFloat();
  return source;
}
