/** Whether each result of an answer belongs to its snapshot and to its caller's request. */
import { formatSnapshot } from '../../src/model/snapshot.js';
import type { QueryAnswer, ShardResult } from '../../src/model/query-answer.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import { deriveResult } from '../ledger/derived-result.js';
import type { BackendIndex } from './backend-index.js';
import type { Violation } from './violation.js';

/** Digest a result claims; undefined when it is not of a stand-in's shape. */
function claimedDigest(result: unknown): string | undefined {
  if (typeof result !== 'object' || result === null) return undefined;
  const { digest } = result as { digest?: unknown };
  return typeof digest === 'string' ? digest : undefined;
}

function isWholeResult(
  entry: CallerLedgerEntry,
  answer: QueryAnswer,
  { shardId, result }: ShardResult,
): boolean {
  const expected = deriveResult({
    service: entry.service,
    shardId,
    snapshot: formatSnapshot(answer.snapshot),
    queryDigest: entry.queryDigest,
  });
  return JSON.stringify(result) === JSON.stringify(expected);
}

function explainResult(
  index: BackendIndex,
  entry: CallerLedgerEntry,
  answer: QueryAnswer,
  { shardId, result }: ShardResult,
): Violation {
  const { requestId } = entry;
  const origin = index.originOf(claimedDigest(result) ?? '');
  const stated = formatSnapshot(answer.snapshot);
  if (origin === undefined) {
    const detail = `the result of ${shardId} was produced by no back end`;
    return { kind: 'foreignReply', requestId, detail };
  }
  const sameRequest = origin.queryDigest === entry.queryDigest && origin.service === entry.service;
  if (sameRequest && origin.shardId === shardId && origin.snapshot !== stated) {
    const detail = `the result of ${shardId} is of ${origin.snapshot}, the answer says ${stated}`;
    return { kind: 'mixedSnapshot', requestId, detail };
  }
  const source = `${origin.shardId} of request ${origin.requestId}`;
  const detail = `the result given for ${shardId} belongs to ${source} or was altered`;
  return { kind: 'foreignReply', requestId, detail };
}

function checkIdentity(entry: CallerLedgerEntry): Violation[] {
  const named = entry.answer ?? entry.error;
  const { requestId } = entry;
  if (entry.outcome === 'malformed_response') {
    return [{ kind: 'foreignReply', requestId, detail: 'the response is not whole' }];
  }
  if (named?.requestId !== undefined && named.requestId !== requestId) {
    const detail = `the response names request ${named.requestId}`;
    return [{ kind: 'foreignReply', requestId, detail }];
  }
  if (named?.service !== undefined && named.service !== entry.service) {
    const detail = `the response names service ${named.service}`;
    return [{ kind: 'foreignReply', requestId, detail }];
  }
  return [];
}

/** Finds `mixedSnapshot` and `foreignReply`. */
export function checkResults(
  index: BackendIndex,
  callers: readonly CallerLedgerEntry[],
): Violation[] {
  const violations: Violation[] = [];
  for (const entry of callers) {
    violations.push(...checkIdentity(entry));
    const { answer } = entry;
    if (answer === undefined) continue;
    for (const shardResult of answer.results) {
      if (isWholeResult(entry, answer, shardResult)) continue;
      violations.push(explainResult(index, entry, answer, shardResult));
    }
  }
  return violations;
}
