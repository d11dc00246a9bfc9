/** Many seeds, and the summary that is the same however they were run. */
import { xxh64 } from '@node-rs/xxhash';
import { sumPromiseCounts, type PromiseCounts } from './promises.js';
import { hasFailed, type SeedResult } from './seed-result.js';

/** First and last seed, both included. */
export interface SeedRange {
  readonly first: number;
  readonly last: number;
}

/** The last line of `driftway-lab simulate --json`. */
export interface SimulateSummary {
  readonly seeds: number;
  readonly requests: number;
  readonly changes: number;
  readonly faults: number;
  readonly violations: PromiseCounts;
  /** What did not come back after the last fault, and requests that got no end at all. */
  readonly liveness: number;
  readonly failingSeeds: readonly number[];
  readonly digest: string;
}

const RANGE_PATTERN = /^(\d+)(?:\.\.(\d+))?$/;

/**
 * Reads `A..B` or a single seed.
 *
 * @throws RangeError when it is anything else.
 */
export function parseSeedRange(text: string): SeedRange {
  const match = RANGE_PATTERN.exec(text);
  const first = Number(match?.[1]);
  const last = Number(match?.[2] ?? match?.[1]);
  if (match === null || last < first) {
    throw new RangeError(`"${text}" is no range of seeds; write 1..100`);
  }
  return { first, last };
}

/** Every seed of the range, ascending. */
export function seedsOf({ first, last }: SeedRange): number[] {
  return Array.from({ length: last - first + 1 }, (_seed, index) => first + index);
}

/** Sums up results in order of seed. */
export function summarise(results: readonly SeedResult[]): SimulateSummary {
  const ordered = results.toSorted((left, right) => left.seed - right.seed);
  const sum = (of: (result: SeedResult) => number): number =>
    ordered.reduce((total, result) => total + of(result), 0);
  const digests = ordered.map(({ seed, digest }) => `${seed}:${digest}`).join(' ');
  return {
    seeds: ordered.length,
    requests: sum(({ requests }) => requests),
    changes: sum(({ changes }) => changes),
    faults: sum(({ faults }) => faults.length),
    violations: sumPromiseCounts(ordered.map(({ counts }) => counts)),
    liveness: sum(({ liveness }) => liveness.length),
    failingSeeds: ordered.filter(hasFailed).map(({ seed }) => seed),
    digest: xxh64(digests).toString(16).padStart(16, '0'),
  };
}
