/** Shrinks the schedule of a failing seed. */
import { hasFailed, type SeedResult } from './seed-result.js';
import { SeedRun } from './seed-run.js';
import { shrink } from './shrink.js';
import type { SimulateOptions } from './simulate-options.js';

const MOST_RUNS = 120;

/** The failing run with the fewest faults found. */
export interface ShrunkSeed {
  readonly result: SeedResult;
  readonly options: SimulateOptions;
  readonly runs: number;
  readonly minimal: boolean;
}

/** What a failure is told by: the promises broken, or that something did not come back. */
function failureKinds({ violations, liveness }: SeedResult): ReadonlySet<string> {
  return new Set(
    violations.length > 0
      ? violations.map(({ kind }) => kind)
      : liveness.slice(0, 1).map(() => 'liveness'),
  );
}

/** Searches the fewest faults with which the seed still breaks one of the same promises. */
export async function shrinkSeed(
  failure: SeedResult,
  options: SimulateOptions,
): Promise<ShrunkSeed> {
  const wanted = failureKinds(failure);
  let result = failure;
  const failsWith = async (only: readonly number[]): Promise<boolean> => {
    const tried = await new SeedRun(failure.seed, { ...options, only }).run();
    const fails = hasFailed(tried) && [...failureKinds(tried)].some((kind) => wanted.has(kind));
    if (fails) result = tried;
    return fails;
  };
  const { faultNumbers, runs, minimal } = await shrink(failure.faults, failsWith, MOST_RUNS);
  return { result, options: { ...options, only: faultNumbers }, runs, minimal };
}
