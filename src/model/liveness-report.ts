/** Observed state of a replica, reported by a daemon or by the platform. */

/** State of a replica; within one incarnation it only ever moves forward in this order. */
export type ReplicaState = 'live' | 'draining' | 'gone';

/** Position of a state in the order in which one incarnation passes through the states. */
export const REPLICA_STATE_ORDER: Readonly<Record<ReplicaState, number>> = {
  live: 0,
  draining: 1,
  gone: 2,
};

/** One observation that a replica is live, draining or gone. */
export interface LivenessReport {
  readonly replicaId: string;
  /** Incarnation of the back-end process. A larger one supersedes all reports of smaller ones. */
  readonly incarnation: number;
  readonly state: ReplicaState;
  /** Name of the daemon that observed the state, or `platform`. */
  readonly observedBy: string;
}

/** Whether `candidate` is newer than `known`; both are reports on the same replica. */
export function supersedes(candidate: LivenessReport, known: LivenessReport): boolean {
  if (candidate.incarnation !== known.incarnation) {
    return candidate.incarnation > known.incarnation;
  }
  return REPLICA_STATE_ORDER[candidate.state] > REPLICA_STATE_ORDER[known.state];
}
