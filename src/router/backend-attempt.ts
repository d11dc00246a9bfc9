/**
 * One request to one replica. Whatever comes back is verified before anything
 * of it is used; a reply that is not this attempt's own is counted and dropped.
 */
import { HttpClientError } from '../errors/http-client-error.js';
import type { ReplicaRecord } from '../membership/replica-record.js';
import { BACKEND_QUERY_PATH, BackendHeader } from '../model/backend-protocol.js';
import type { HttpClientResponse, HttpHeaders } from '../seams/http.js';
import { failedAttempt, type AttemptOutcome } from './attempt-outcome.js';
import type { QueryContext } from './query-context.js';
import {
  findMismatch,
  parseDisposition,
  parseReplyMark,
  type AttemptIdentity,
  type DroppedReplyReason,
} from './reply-verification.js';
import type { ReplyMemoryBudget } from './reply-memory-budget.js';
import type { RouterContext } from './router-context.js';

/** Where the attempt goes. */
export interface AttemptTarget {
  readonly record: ReplicaRecord;
  readonly shardId: string;
  /** `epoch.version`. */
  readonly snapshot: string;
}

/** One attempt. */
export class BackendAttempt {
  private readonly identity: AttemptIdentity;
  private mismatch: DroppedReplyReason | undefined;
  private bytesReceived = 0;

  constructor(
    private readonly router: RouterContext,
    private readonly query: QueryContext,
    private readonly target: AttemptTarget,
    private readonly replyMemory: ReplyMemoryBudget,
  ) {
    this.identity = {
      requestId: query.backendRequestId,
      attemptId: router.identifiers.next(),
      service: query.service.definition.name,
      shardId: target.shardId,
      snapshot: target.snapshot,
    };
  }

  /** Sends it and judges what comes back. Never throws; aborting `signal` cancels it. */
  async run(signal: AbortSignal): Promise<AttemptOutcome> {
    const { record } = this.target;
    record.beginAttempt();
    const outcome = await this.exchange(signal);
    if (outcome.kind === 'failed') this.replyMemory.release(this.bytesReceived);
    record.endAttempt();
    return outcome;
  }

  private async exchange(signal: AbortSignal): Promise<AttemptOutcome> {
    const { clock } = this.router.environment;
    const startedAt = clock.now();
    try {
      const response = await this.send(signal, startedAt);
      return this.classifyResponse(response, clock.now() - startedAt);
    } catch (error) {
      return this.classifyError(error, clock.now() - startedAt);
    }
  }

  private send(signal: AbortSignal, now: number): Promise<HttpClientResponse> {
    const { request } = this.query;
    return this.target.record.channel.send({
      method: 'POST',
      path: BACKEND_QUERY_PATH,
      headers: this.headers(this.query.deadlineAt - now),
      body: this.query.queryText,
      signal,
      freshConnection: !request.repeatable,
      acceptResponse: (headers) => this.verifyHeaders(headers),
      acceptBytes: (bytes) => this.reserveBytes(bytes),
    });
  }

  private headers(remaining: number): HttpHeaders {
    return {
      'content-type': 'application/json',
      [BackendHeader.RequestId]: this.identity.requestId,
      [BackendHeader.AttemptId]: this.identity.attemptId,
      [BackendHeader.Service]: this.identity.service,
      [BackendHeader.ShardId]: this.identity.shardId,
      [BackendHeader.Snapshot]: this.identity.snapshot,
      [BackendHeader.DeadlineMs]: String(Math.max(1, Math.floor(remaining))),
      [BackendHeader.Repeatable]: String(this.query.request.repeatable),
    };
  }

  private reserveBytes(bytes: number): boolean {
    this.bytesReceived += bytes;
    return this.replyMemory.reserve(bytes);
  }

  /** Asked when the header is there, so that an untrustworthy connection is closed at once. */
  private verifyHeaders(headers: HttpHeaders): boolean {
    const { skipReplyMatching } = this.router.faults;
    this.mismatch = skipReplyMatching ? undefined : findMismatch(this.identity, headers);
    return this.mismatch === undefined;
  }

  private classifyResponse(response: HttpClientResponse, latency: number): AttemptOutcome {
    const { headers } = response;
    if (!this.verifyHeaders(headers)) return this.dropReply(this.mismatch ?? 'missing_echo');
    const { registry } = this.router;
    const { record, snapshot, shardId } = this.target;
    const mark = parseReplyMark(headers);
    if (mark !== undefined) registry.onReplyMark(record, mark);
    switch (parseDisposition(headers)) {
      case 'answered':
        return this.classifyAnswer(response, latency);
      case 'not_started':
        record.recordFailure();
        return failedAttempt('shed', false);
      case 'snapshot_not_held':
        registry.onSnapshotNotHeld(record, snapshot);
        return failedAttempt('snapshot_not_held', false);
      case 'failed':
        this.recordFailure();
        this.query.service.policies.hedge.recordLatency(shardId, latency);
        return failedAttempt('backend_failed', true);
      case undefined:
        return this.dropReply('unknown_disposition');
    }
  }

  private classifyAnswer(response: HttpClientResponse, latency: number): AttemptOutcome {
    const resultText = decodeJsonText(response.body);
    if (resultText === undefined) return this.dropReply('malformed_body');
    const { record, snapshot, shardId } = this.target;
    this.router.registry.onAnswer(record, snapshot, latency);
    this.query.service.policies.outlierEjection.recordSuccess(record.process);
    this.query.service.policies.hedge.recordLatency(shardId, latency);
    return { kind: 'answered', resultText, bytes: response.body.length };
  }

  private classifyError(error: unknown, elapsed: number): AttemptOutcome {
    if (!(error instanceof HttpClientError)) return failedAttempt('connection_lost', true);
    if (this.mismatch !== undefined) return this.dropReply(this.mismatch);
    const { kind, requestSent } = error;
    if (kind === 'aborted') return this.recordCancellation(elapsed, requestSent);
    if (kind === 'response_too_large') return this.dropReply('too_large');
    if (kind === 'malformed_response') return this.dropReply('malformed_response');
    if (kind === 'response_truncated') return this.dropReply('truncated');
    this.recordFailure();
    return failedAttempt(requestSent ? 'connection_lost' : 'connect_failed', requestSent);
  }

  private recordFailure(): void {
    const { record } = this.target;
    record.recordFailure();
    this.query.service.policies.outlierEjection.recordFailure(record.process);
  }

  /** Cancelled: that there was no reply for so long is all that can be learned from it. */
  private recordCancellation(elapsed: number, requestSent: boolean): AttemptOutcome {
    this.target.record.recordUnfinished(elapsed);
    this.query.service.policies.hedge.recordUnfinished(this.target.shardId, elapsed);
    return failedAttempt('not_waited_for', requestSent);
  }

  /** The request was sent and its reply is lost, so it may have been run. */
  private dropReply(reason: DroppedReplyReason): AttemptOutcome {
    this.router.metrics.droppedReplies.inc({ reason });
    this.recordFailure();
    return failedAttempt('bad_reply', true);
  }
}

/** The body as text when it is JSON in UTF-8, else undefined. */
function decodeJsonText(body: Uint8Array): string | undefined {
  try {
    const text = new TextDecoder('utf-8', { fatal: true }).decode(body);
    JSON.parse(text);
    return text;
  } catch {
    return undefined;
  }
}
