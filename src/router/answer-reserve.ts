/** Time kept back from a deadline so that the answer still reaches the caller. */

/** Milliseconds. */
const MAXIMUM_ANSWER_RESERVE_MS = 5;
/** Most of a short deadline that is kept back. */
const ANSWER_RESERVE_FRACTION = 0.1;

/** What is left of a deadline for the work. Milliseconds. */
export function subtractAnswerReserve(deadlineMs: number): number {
  return deadlineMs - Math.min(MAXIMUM_ANSWER_RESERVE_MS, deadlineMs * ANSWER_RESERVE_FRACTION);
}
