/** What became of one sending of a request to one replica. */
import type { HttpHeaders } from '../seams/http.js';

/** A whole answer that belongs to the request. */
export interface ReplicaAnswer {
  readonly status: number;
  /** Names in lower case, those of the connection left out. */
  readonly headers: HttpHeaders;
  readonly body: Uint8Array;
}

/** The replica ran the request and answered with a success. */
export interface AnsweredAttempt {
  readonly kind: 'answered';
  readonly answer: ReplicaAnswer;
}

/** The replica ran the request, or says so, and answered with a failure of its own. */
export interface FailedAnswerAttempt {
  readonly kind: 'failedAnswer';
  readonly answer: ReplicaAnswer;
}

/** Certainly not run: the replica said so, or no byte reached it. */
export interface NotRunAttempt {
  readonly kind: 'notRun';
  readonly reason: NotRunReason;
}

/** Nothing usable came back; the request may have run. */
export interface BrokenAttempt {
  readonly kind: 'broken';
  readonly reason: string;
}

/** Reasons of a {@link BrokenAttempt} whose connection ended before the answer was whole. */
const CONNECTION_ENDED: ReadonlySet<string> = new Set(['connection_lost', 'response_truncated']);

/** Reason of a {@link BrokenAttempt} whose replica's address another one has. */
export const REPLICA_ENDED = 'replica_ended';

/** Given up by the gateway; the request may have run. */
export interface CancelledAttempt {
  readonly kind: 'cancelled';
}

export type AttemptResult =
  AnsweredAttempt | FailedAnswerAttempt | NotRunAttempt | BrokenAttempt | CancelledAttempt;

/** Why an attempt was not run. */
export enum NotRunReason {
  /** The replica is full, or the time was up when its turn came. */
  Refused = 'refused',
  /** Another replica has the address now. */
  WrongReplica = 'wrong_replica',
  /** No connection came about. */
  Unreachable = 'unreachable',
}

/** Whether the replica may have ended under the attempt. */
export function isConnectionLost(result: AttemptResult): boolean {
  return result.kind === 'broken' && CONNECTION_ENDED.has(result.reason);
}
