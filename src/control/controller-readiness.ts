/** Whether a controller can be of use to operators and daemons. */
import { QUORUM_LEASE_MS } from '../control-stream/stream-timing.js';

/** For `/readyz`. */
export interface Readiness {
  readonly ready: boolean;
  /** Why not. */
  readonly reason?: string;
}

/** Ages are in milliseconds. */
export interface ReadinessInputs {
  readonly stopping: boolean;
  /** Since a quorum was heard. */
  readonly sinceQuorumMs: number;
  /** Since the state here was known to be the agreed one. */
  readonly stateAgeMs: number;
}

/** The first reason that holds. */
export function evaluateReadiness({
  stopping,
  sinceQuorumMs,
  stateAgeMs: stateAgeMs,
}: ReadinessInputs): Readiness {
  if (stopping) return { ready: false, reason: 'stopping' };
  if (sinceQuorumMs > QUORUM_LEASE_MS) {
    return { ready: false, reason: `no quorum heard for ${Math.round(sinceQuorumMs)} ms` };
  }
  if (stateAgeMs <= QUORUM_LEASE_MS) return { ready: true };
  const reason = `lacks what was committed ${Math.round(stateAgeMs)} ms ago; is the disk slow?`;
  return { ready: false, reason };
}
