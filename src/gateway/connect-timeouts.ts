/**
 * Bounds how long a request to a single service waits for connections. Replicas may accept no
 * connections for seconds, because their accept queues are full or their listeners drop SYN
 * packets, while other replicas of the service have capacity.
 */

/**
 * Fraction of the target latency; a longer connect time would leave too little of it for the work
 * itself.
 */
const CONNECT_TIMEOUT_FRACTION = 0.1;
/** Connecting over long links or to busy machines can take a good part of this. */
const MINIMUM_CONNECT_TIMEOUT_MS = 50;
/**
 * Fraction of the target latency after which a request that was never written to a connection is
 * refused as not run.
 */
const SEND_TIMEOUT_FRACTION = 0.5;

/**
 * Time after receipt within which a request is written to a connection, or else refused.
 * Milliseconds.
 */
export function sendTimeout(targetLatency: number): number {
  return targetLatency * SEND_TIMEOUT_FRACTION;
}

/**
 * Timeout for opening one connection. `unsentFor` is how long the request has waited without being
 * written to any connection; undefined once it was. All times are milliseconds.
 */
export function connectTimeout(targetLatency: number, unsentFor: number | undefined): number {
  const bound = Math.max(targetLatency * CONNECT_TIMEOUT_FRACTION, MINIMUM_CONNECT_TIMEOUT_MS);
  if (unsentFor === undefined) return bound;
  const remaining = sendTimeout(targetLatency) - unsentFor;
  return Math.max(1, Math.min(bound, remaining));
}
