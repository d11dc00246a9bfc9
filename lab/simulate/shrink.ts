/** Leaves out faults of a failing schedule until every one that is left is needed. */

/** Whether a run with only these faults still fails in the same way. */
export type FailsWith = (faultNumbers: readonly number[]) => Promise<boolean>;

/** The faults left over, and how many runs it took. */
export interface Shrunk {
  readonly faultNumbers: readonly number[];
  readonly runs: number;
  /** False when the runs ran out first; then fewer faults might do. */
  readonly minimal: boolean;
}

/**
 * Delta debugging: takes out ever smaller parts of the schedule, and goes on with
 * what still fails. Makes at most `mostRuns` runs.
 */
export async function shrink(
  all: readonly number[],
  failsWith: FailsWith,
  mostRuns: number,
): Promise<Shrunk> {
  let left = all;
  let size = Math.max(1, Math.ceil(all.length / 2));
  let runs = 0;
  for (;;) {
    let removed = false;
    for (let start = 0; start < left.length;) {
      if (runs === mostRuns) return { faultNumbers: left, runs, minimal: false };
      const rest = [...left.slice(0, start), ...left.slice(start + size)];
      runs += 1;
      if (await failsWith(rest)) {
        left = rest;
        removed = true;
      } else {
        start += size;
      }
    }
    if (size === 1 && !removed) return { faultNumbers: left, runs, minimal: true };
    if (!removed || size >= left.length) size = Math.max(1, Math.ceil(size / 2));
  }
}
