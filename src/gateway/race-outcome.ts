/** Outcome of a race between replicas. */
import type { ReplicaAnswer } from './attempt-result.js';

/** A successful answer, or a failure with what is known about its execution. */
export type RaceOutcome =
  | { readonly kind: 'answered'; readonly answer: ReplicaAnswer }
  | {
      readonly kind: 'failed';
      /** False only if it is certain that no replica ran the request. */
      readonly mayHaveRun: boolean;
      /** The last failed answer of a replica, if any. */
      readonly answer: ReplicaAnswer | undefined;
      readonly reason: string;
    };
