/** Sends a request to one replica once, and takes nothing for its answer that may be another's. */
import { HttpClientError } from '../errors/http-client-error.js';
import { TrafficDirection, type ZoneTraffic } from '../observability/zone-traffic.js';
import type { Clock } from '../seams/clock.js';
import type { HttpClientRequest, HttpClientResponse, HttpHeaders } from '../seams/http.js';
import { NotRunReason, type AttemptResult, type ReplicaAnswer } from './attempt-result.js';
import type { CallerRequest } from './caller-request.js';
import type { ExchangeHeaders } from './exchange-headers.js';
import { sizeOfRequest, sizeOfResponse } from './exchange-size.js';
import { endToEndHeaders } from './forwarded-headers.js';
import type { ReplicaTarget } from './replica-target.js';
import { parseReportedLoad } from './reported-load.js';

const WRONG_REPLICA_STATUS = 421;
const EMPTY_BODY_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** A load report that is not in a form known here. */
export interface UnreadableReport {
  readonly replicaId: string;
  readonly text: string;
}

/** One sending of a request. */
export interface SendOptions {
  /** Aborting ends it. */
  readonly signal: AbortSignal;
  /** Longest wait for a connection; that of the client alone when undefined. Milliseconds. */
  readonly connectTimeout: number | undefined;
  /** Called when it is written to a connection: from then on the replica may run it. */
  readonly onSent: () => void;
}

/** See the module comment. */
export class AttemptSender {
  constructor(
    private readonly clock: Clock,
    private readonly headerNames: ExchangeHeaders,
    /** Told of each load report that cannot be read. */
    private readonly onUnreadableReport: (report: UnreadableReport) => void,
    private readonly traffic: ZoneTraffic,
  ) {}

  /** Never rejects: every failure is a result. */
  async send(
    request: CallerRequest,
    target: ReplicaTarget,
    { signal, connectTimeout: connectWithin, onSent }: SendOptions,
  ): Promise<AttemptResult> {
    const remaining = Math.floor(request.deadline - this.clock.now());
    if (remaining < 1) return { kind: 'notRun', reason: NotRunReason.Unreachable };
    try {
      const response = await this.exchange(target, {
        method: request.method,
        path: request.target,
        headers: this.headersFor(request, target, remaining),
        ...this.bodyOf(request),
        signal,
        ...(connectWithin === undefined ? {} : { connectWithin }),
        onSent,
        acceptResponse: (headers) => this.isForRequest(request, headers),
      });
      this.updateLoad(target, response.headers[this.headerNames.load]);
      return this.classifyResponse(request, response);
    } catch (error) {
      return this.classifyError(error);
    }
  }

  private async exchange(
    target: ReplicaTarget,
    request: HttpClientRequest,
  ): Promise<HttpClientResponse> {
    const { zone } = target.entry;
    const bytes = sizeOfRequest(request);
    this.traffic.note(zone, { kind: 'replica_request', direction: TrafficDirection.Sent, bytes });
    const response = await target.client.request(request);
    this.traffic.note(zone, {
      kind: 'replica_response',
      direction: TrafficDirection.Received,
      bytes: sizeOfResponse(response),
    });
    return response;
  }

  private updateLoad(target: ReplicaTarget, text: string | undefined): void {
    if (text === undefined) return;
    const load = parseReportedLoad(text, this.clock.now());
    if (load === undefined) this.onUnreadableReport({ replicaId: target.entry.replicaId, text });
    else target.load = load;
  }

  private headersFor(
    request: CallerRequest,
    target: ReplicaTarget,
    remaining: number,
  ): HttpHeaders {
    const { deadline, targetReplica } = this.headerNames;
    return {
      ...request.headers,
      [deadline]: String(remaining),
      [targetReplica]: target.entry.replicaId,
    };
  }

  private bodyOf(request: CallerRequest): { readonly body?: Uint8Array } {
    const isEmpty = request.body.length === 0;
    if (isEmpty && EMPTY_BODY_METHODS.has(request.method)) return {};
    return { body: request.body };
  }

  /** Closes the connection at once when the answer names another request. */
  private isForRequest(request: CallerRequest, headers: HttpHeaders): boolean {
    const id = headers[this.headerNames.requestId];
    return id === undefined || id === request.id;
  }

  private classifyResponse(request: CallerRequest, response: HttpClientResponse): AttemptResult {
    const { status, headers, body } = response;
    const carriesId = headers[this.headerNames.requestId] === request.id;
    // Also a refusal: a late one of an earlier request may stand where this answer is due.
    if (!carriesId) return { kind: 'broken', reason: 'the answer does not name the request' };
    if (status === WRONG_REPLICA_STATUS)
      return { kind: 'notRun', reason: NotRunReason.WrongReplica };
    if (headers[this.headerNames.notExecuted] !== undefined && !isSuccess(status)) {
      return { kind: 'notRun', reason: NotRunReason.Refused };
    }
    if (headers['content-encoding'] !== undefined) {
      return { kind: 'broken', reason: 'the answer is encoded' };
    }
    const isSigned = headers[this.headerNames.signature] !== undefined;
    if (!isSigned) return { kind: 'broken', reason: 'the answer is not signed' };
    const answer: ReplicaAnswer = { status, headers: endToEndHeaders(headers), body };
    return isSuccess(status) ? { kind: 'answered', answer } : { kind: 'failedAnswer', answer };
  }

  private classifyError(error: unknown): AttemptResult {
    if (!(error instanceof HttpClientError)) return { kind: 'broken', reason: String(error) };
    if (error.kind === 'aborted') return { kind: 'cancelled' };
    if (!error.requestSent) return { kind: 'notRun', reason: NotRunReason.Unreachable };
    return { kind: 'broken', reason: error.kind };
  }
}
