/** Results of one attempt: one request sent once to one replica. */
import type { HttpHeaders } from '../seams/http.js';

/** A complete answer that names the request. */
export interface ReplicaAnswer {
  readonly status: number;
  /** Lower-case names; hop-by-hop headers are left out. */
  readonly headers: HttpHeaders;
  readonly body: Uint8Array;
}

/** The replica ran the request and answered with a 2xx status. */
export interface AnsweredAttempt {
  readonly kind: 'answered';
  readonly answer: ReplicaAnswer;
}

/** The replica ran the request, as far as its answer tells, and answered with another status. */
export interface FailedAnswerAttempt {
  readonly kind: 'failedAnswer';
  readonly answer: ReplicaAnswer;
}

/** The request certainly did not run: the replica reported so, or the request was never sent. */
export interface NotRunAttempt {
  readonly kind: 'notRun';
  readonly reason: NotRunReason;
}

/** No usable answer arrived; the request may have run. */
export interface BrokenAttempt {
  readonly kind: 'broken';
  readonly reason: string;
}

/** Reasons of a {@link BrokenAttempt} whose connection ended before the answer was complete. */
const CONNECTION_ENDED: ReadonlySet<string> = new Set(['connection_lost', 'response_truncated']);

/** Reason of a {@link BrokenAttempt} whose replica was replaced at its address. */
export const REPLICA_ENDED = 'replica_ended';

/** The gateway cancelled the attempt; the request may have run. */
export interface CancelledAttempt {
  readonly kind: 'cancelled';
}

export type AttemptResult =
  AnsweredAttempt | FailedAnswerAttempt | NotRunAttempt | BrokenAttempt | CancelledAttempt;

/** Why a replica did not run the request. */
export enum NotRunReason {
  /** The replica has no capacity, or the deadline passed while the request was queued there. */
  Refused = 'refused',
  /** Another replica answered at the address. */
  WrongReplica = 'wrong_replica',
  /** No connection was established, or the deadline passed before sending. */
  Unreachable = 'unreachable',
}

/** Whether the connection was lost during the attempt, as when the replica crashes. */
export function isConnectionLost(result: AttemptResult): boolean {
  return result.kind === 'broken' && CONNECTION_ENDED.has(result.reason);
}
