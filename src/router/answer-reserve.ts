/** Reserves part of a deadline for sending the answer, so that it reaches the caller in time. */

const MAXIMUM_ANSWER_RESERVE_MS = 5;
/** Upper bound of the reserve for short deadlines, as a fraction of the deadline. */
const ANSWER_RESERVE_FRACTION = 0.1;

/** Time of a deadline that remains for executing the query. Milliseconds. */
export function subtractAnswerReserve(deadlineMs: number): number {
  return deadlineMs - Math.min(MAXIMUM_ANSWER_RESERVE_MS, deadlineMs * ANSWER_RESERVE_FRACTION);
}
