import { describe, expect, it } from 'vitest';
import { shrink } from '../../../lab/simulate/shrink.js';

const SCHEDULE = Array.from({ length: 40 }, (_fault, index) => index + 1);

function needs(...numbers: number[]) {
  return async (tried: readonly number[]) => numbers.every((number) => tried.includes(number));
}

describe('shrink', () => {
  it.each([[[]], [[1]], [[40]], [[3, 17, 38]]])('leaves exactly the faults %j', async (needed) => {
    const { faultNumbers, minimal } = await shrink(SCHEDULE, needs(...needed), 1_000);
    expect(faultNumbers).toEqual(needed);
    expect(minimal).toBe(true);
  });

  it('stops when its runs are used up, and says so', async () => {
    const { faultNumbers, runs, minimal } = await shrink(SCHEDULE, needs(3, 17, 38), 5);
    expect({ runs, minimal }).toEqual({ runs: 5, minimal: false });
    expect(faultNumbers).toEqual(expect.arrayContaining([3, 17, 38]));
  });
});
