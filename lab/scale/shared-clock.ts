/** A clock that all processes of one machine share, for times between them. */

const NANOSECONDS_PER_MILLISECOND = 1e6;

/** The system's monotonic clock. Milliseconds. */
export function readSharedClock(): number {
  return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MILLISECOND;
}
