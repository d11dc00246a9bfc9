/** What is known of a replica's life, whoever saw it. */

/** Later states replace earlier ones within an incarnation, never the other way round. */
export type ReplicaState = 'live' | 'draining' | 'gone';

/** Rank of a state within one incarnation. */
export const REPLICA_STATE_RANK: Readonly<Record<ReplicaState, number>> = {
  live: 0,
  draining: 1,
  gone: 2,
};

/** One sign of life, leaving or loss. */
export interface LivenessReport {
  readonly replicaId: string;
  /** Of the back-end process. A larger one replaces everything known of smaller ones. */
  readonly incarnation: number;
  readonly state: ReplicaState;
  /** Name of the daemon, or `platform`. */
  readonly observedBy: string;
}

/** Whether `candidate` tells something newer than `known` about the same replica. */
export function supersedes(candidate: LivenessReport, known: LivenessReport): boolean {
  if (candidate.incarnation !== known.incarnation) {
    return candidate.incarnation > known.incarnation;
  }
  return REPLICA_STATE_RANK[candidate.state] > REPLICA_STATE_RANK[known.state];
}
