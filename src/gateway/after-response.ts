/**
 * Work that a request leaves behind, such as its log line. A process short of processor time would keep
 * the caller waiting for it.
 */
import type { Clock } from '../seams/clock.js';

/** Runs `work` once the response that the current callback hands over has been written. */
export function afterResponse(clock: Clock, work: () => void): void {
  clock.setTimer(0, work);
}
