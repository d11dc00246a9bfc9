/** Decides whether a back end's reply belongs to the attempt that got it. */
import { BackendHeader, type BackendDisposition } from '../model/backend-protocol.js';
import type { ReplyMark } from '../membership/replica-registry.js';
import type { HttpHeaders } from '../seams/http.js';

/** Why a reply was dropped; the label of the counter. */
export type DroppedReplyReason =
  | 'missing_echo'
  | 'foreign_request'
  | 'foreign_attempt'
  | 'foreign_service'
  | 'foreign_shard'
  | 'foreign_snapshot'
  | 'unknown_disposition'
  | 'malformed_body'
  | 'malformed_response'
  | 'truncated'
  | 'too_large';

/** What the reply has to echo. */
export interface AttemptIdentity {
  readonly requestId: string;
  readonly attemptId: string;
  readonly service: string;
  readonly shardId: string;
  /** `epoch.version`. */
  readonly snapshot: string;
}

const DISPOSITIONS: ReadonlySet<string> = new Set<BackendDisposition>([
  'answered',
  'not_started',
  'snapshot_not_held',
  'failed',
]);

/** The first echo that does not match, or undefined when all do. */
export function findMismatch(
  identity: AttemptIdentity,
  headers: HttpHeaders,
): DroppedReplyReason | undefined {
  const echoes: readonly [string, string, DroppedReplyReason][] = [
    [BackendHeader.RequestId, identity.requestId, 'foreign_request'],
    [BackendHeader.AttemptId, identity.attemptId, 'foreign_attempt'],
    [BackendHeader.Service, identity.service, 'foreign_service'],
    [BackendHeader.ShardId, identity.shardId, 'foreign_shard'],
    [BackendHeader.Snapshot, identity.snapshot, 'foreign_snapshot'],
  ];
  for (const [name, expected, reason] of echoes) {
    const echoed = headers[name];
    if (echoed === undefined) return 'missing_echo';
    if (echoed !== expected) return reason;
  }
  return undefined;
}

/** The disposition a reply names, or undefined when it names none that exists. */
export function parseDisposition(headers: HttpHeaders): BackendDisposition | undefined {
  const text = headers[BackendHeader.Disposition];
  return text !== undefined && DISPOSITIONS.has(text) ? (text as BackendDisposition) : undefined;
}

/** What the sender said of itself, or undefined when it named no incarnation. */
export function parseReplyMark(headers: HttpHeaders): ReplyMark | undefined {
  const incarnation = parseNumber(headers[BackendHeader.Incarnation]);
  if (!Number.isSafeInteger(incarnation) || incarnation === undefined) return undefined;
  const draining = headers[BackendHeader.Draining] === 'true';
  return { incarnation, draining, load: parseNumber(headers[BackendHeader.Load]) };
}

function parseNumber(text: string | undefined): number | undefined {
  if (text === undefined || !/^\d{1,16}(\.\d{1,6})?$/.test(text)) return undefined;
  return Number(text);
}
