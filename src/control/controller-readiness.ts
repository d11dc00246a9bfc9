/** Readiness check: whether a controller can serve operators and daemons. */
import { QUORUM_LEASE_MS } from '../control-stream/stream-timing.js';

/** Response body of `/readyz`. */
export interface Readiness {
  readonly ready: boolean;
  /** Why the controller is not ready; absent when it is. */
  readonly reason?: string;
}

/** State of a controller from which its readiness follows. */
export interface ReadinessInputs {
  readonly stopping: boolean;
  /** Time since a quorum was last heard, directly or through the leader. */
  readonly sinceQuorumMs: number;
  /** Time since the local state was last known to hold everything committed. */
  readonly stateAgeMs: number;
}

/** Reports the first reason that applies; in order: stopping, no quorum, outdated state. */
export function evaluateReadiness({
  stopping,
  sinceQuorumMs,
  stateAgeMs,
}: ReadinessInputs): Readiness {
  if (stopping) return { ready: false, reason: 'stopping' };
  if (sinceQuorumMs > QUORUM_LEASE_MS) {
    return { ready: false, reason: `no quorum heard for ${Math.round(sinceQuorumMs)} ms` };
  }
  if (stateAgeMs <= QUORUM_LEASE_MS) return { ready: true };
  const reason = `lacks what was committed ${Math.round(stateAgeMs)} ms ago; is the disk slow?`;
  return { ready: false, reason };
}
