/** Draws when requests arrive: independent of each other, at a given mean rate. */
import type { RandomSource } from '../../src/seams/random-source.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Times in [from, to), ascending. Milliseconds. */
export function drawArrivalTimes(
  ratePerSecond: number,
  from: number,
  to: number,
  random: RandomSource,
): number[] {
  const meanGap = MILLISECONDS_PER_SECOND / ratePerSecond;
  const times: number[] = [];
  for (;;) {
    const gap = -Math.log(1 - random.nextFloat()) * meanGap;
    const time = (times.at(-1) ?? from) + gap;
    if (time >= to) return times;
    times.push(time);
  }
}
