/** A router's query as a stand-in back end reads it. */
import { BackendHeader } from '../../src/model/backend-protocol.js';
import { parseSnapshot } from '../../src/model/snapshot.js';
import type { HttpRequest } from '../../src/seams/http.js';
import { digestQuery } from '../ledger/derived-result.js';

/** The identity and the terms of one request. */
export interface BackendRequest {
  readonly requestId: string;
  readonly attemptId: string;
  readonly service: string;
  readonly shardId: string;
  /** `epoch.version`. */
  readonly snapshot: string;
  /** Time left when it was sent. Milliseconds. */
  readonly deadline: number;
  readonly repeatable: boolean;
  readonly queryDigest: string;
}

function parseBody(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}

/** Reads headers and body; undefined when any of them is missing or malformed. */
export function readBackendRequest(request: HttpRequest): BackendRequest | undefined {
  const { headers } = request;
  const requestId = headers[BackendHeader.RequestId];
  const attemptId = headers[BackendHeader.AttemptId];
  const service = headers[BackendHeader.Service];
  const shardId = headers[BackendHeader.ShardId];
  const snapshot = headers[BackendHeader.Snapshot];
  const deadline = Number(headers[BackendHeader.DeadlineMs]);
  const repeatable = headers[BackendHeader.Repeatable];
  const query = parseBody(request.body);
  if (requestId === undefined || attemptId === undefined) return undefined;
  if (service === undefined || shardId === undefined) return undefined;
  if (snapshot === undefined || parseSnapshot(snapshot) === undefined) return undefined;
  if (!Number.isFinite(deadline) || query === undefined) return undefined;
  if (repeatable !== 'true' && repeatable !== 'false') return undefined;
  return {
    requestId,
    attemptId,
    service,
    shardId,
    snapshot,
    deadline,
    repeatable: repeatable === 'true',
    queryDigest: digestQuery(query),
  };
}
