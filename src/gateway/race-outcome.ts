/** How a race between replicas for one answer ended. */
import type { ReplicaAnswer } from './attempt-result.js';

/** See the module comment. */
export type RaceOutcome =
  | { readonly kind: 'answered'; readonly answer: ReplicaAnswer }
  | {
      readonly kind: 'failed';
      /** False only when it is certain that no replica ran it. */
      readonly mayHaveRun: boolean;
      /** A replica's own failure, when there is one. */
      readonly answer: ReplicaAnswer | undefined;
      readonly reason: string;
    };
