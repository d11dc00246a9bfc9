/**
 * How long a request to one service waits for connections to its replicas. It answers replicas that
 * accept no connections for seconds, because their queues are full or their listeners drop opening
 * packets, while others of the service have room.
 */

/** An opening that takes longer than this part of the target leaves too little of it for the work. */
const CONNECT_TIMEOUT_FRACTION = 0.1;
/** Over long links and on busy machines an opening takes some of this. Milliseconds. */
const MINIMUM_CONNECT_TIMEOUT_MS = 50;
/** A request that was written to no connection within this part of its target is refused as not run. */
const SEND_TIMEOUT_FRACTION = 0.5;

/** Time from its receipt within which a request is written to a connection, or refused. Milliseconds. */
export function sendTimeout(targetLatency: number): number {
  return targetLatency * SEND_TIMEOUT_FRACTION;
}

/**
 * Longest wait for one connection, of a request that has been written to none for `unsentFor`
 * milliseconds; undefined once it was written to one. Milliseconds.
 */
export function connectTimeout(targetLatency: number, unsentFor: number | undefined): number {
  const bound = Math.max(targetLatency * CONNECT_TIMEOUT_FRACTION, MINIMUM_CONNECT_TIMEOUT_MS);
  if (unsentFor === undefined) return bound;
  const remaining = sendTimeout(targetLatency) - unsentFor;
  return Math.max(1, Math.min(bound, remaining));
}
