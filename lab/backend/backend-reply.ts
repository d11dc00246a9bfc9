/** Builds the replies of a stand-in back end, and breaks them where a fault says so. */
import { BackendHeader, type BackendDisposition } from '../../src/model/backend-protocol.js';
import type { HttpResponse } from '../../src/seams/http.js';
import type { BackendRequest } from './backend-request.js';

const STATUS_OF: Readonly<Record<BackendDisposition, number>> = {
  answered: 200,
  not_started: 503,
  snapshot_not_held: 409,
  failed: 500,
};

/** What the back end tells of itself with every reply. */
export interface ReplicaFacts {
  readonly incarnation: number;
  readonly draining: boolean;
  readonly load: number;
}

/** A whole, truthful reply. */
export function buildReply(
  request: BackendRequest,
  disposition: BackendDisposition,
  facts: ReplicaFacts,
  body: unknown,
): HttpResponse {
  return {
    status: STATUS_OF[disposition],
    headers: {
      'content-type': 'application/json',
      [BackendHeader.RequestId]: request.requestId,
      [BackendHeader.AttemptId]: request.attemptId,
      [BackendHeader.Service]: request.service,
      [BackendHeader.ShardId]: request.shardId,
      [BackendHeader.Snapshot]: request.snapshot,
      [BackendHeader.Disposition]: disposition,
      [BackendHeader.Incarnation]: String(facts.incarnation),
      [BackendHeader.Draining]: String(facts.draining),
      [BackendHeader.Load]: String(facts.load),
    },
    body: JSON.stringify(body),
  };
}

/** The reply with its connection closed halfway through the body. */
export function truncateReply(reply: HttpResponse): HttpResponse {
  return { ...reply, closeAfterBytes: Math.max(1, Math.floor(reply.body.length / 2)) };
}

/** The reply with an attempt id that nobody sent. */
export function misnameReply(reply: HttpResponse): HttpResponse {
  const headers = { ...reply.headers, [BackendHeader.AttemptId]: 'no-such-attempt' };
  return { ...reply, headers };
}

/** The reply with a body that ends in the middle of a JSON value. */
export function malformReply(reply: HttpResponse): HttpResponse {
  return { ...reply, body: reply.body.slice(0, -1) };
}

/** Closes the connection without a reply. */
export const NO_REPLY: HttpResponse = { status: 500, body: '', closeAfterBytes: 0 };
