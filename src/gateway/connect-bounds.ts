/**
 * How long a request to one service waits for connections to its replicas. It answers replicas that
 * accept no connections for seconds, because their queues are full or their listeners drop opening
 * packets, while others of the service have room.
 */

/** An opening that takes longer than this part of the target leaves too little of it for the work. */
const CONNECT_PART_OF_TARGET = 0.1;
/** Over long links and on busy machines an opening takes some of this. Milliseconds. */
const LEAST_CONNECT_MS = 50;
/** A request that was written to no connection within this part of its target is refused as not run. */
const UNSENT_PART_OF_TARGET = 0.5;

/** Time from its receipt within which a request is written to a connection, or refused. Milliseconds. */
export function longestUnsent(targetLatency: number): number {
  return targetLatency * UNSENT_PART_OF_TARGET;
}

/** Longest wait for one connection, of a request received `elapsed` milliseconds ago. Milliseconds. */
export function longestConnect(targetLatency: number, elapsed: number): number {
  const bound = Math.max(targetLatency * CONNECT_PART_OF_TARGET, LEAST_CONNECT_MS);
  const left = longestUnsent(targetLatency) - elapsed;
  return Math.max(1, Math.min(bound, left));
}
