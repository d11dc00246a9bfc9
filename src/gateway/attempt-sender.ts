/** Sends a request to one replica once, and accepts only an answer that names this request. */
import { HttpClientError } from '../errors/http-client-error.js';
import { TrafficDirection, type ZoneTraffic } from '../observability/zone-traffic.js';
import type { CancellationSignal } from '../seams/cancellation-signal.js';
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

/** A load report in an unknown format. */
export interface UnreadableReport {
  readonly replicaId: string;
  readonly text: string;
}

/** Options of one attempt. */
export interface SendOptions {
  /** Aborting it cancels the attempt. */
  readonly signal: CancellationSignal;
  /** Connect timeout in milliseconds; undefined for the client's own. */
  readonly connectWithin: number | undefined;
  /** Called when the request is written to a connection; the replica may run it from then on. */
  readonly onSent: () => void;
}

/** Sends attempts for one gateway and records traffic and load reports. */
export class AttemptSender {
  constructor(
    private readonly clock: Clock,
    private readonly headerNames: ExchangeHeaders,
    /** Called with each load report that cannot be parsed. */
    private readonly onUnreadableReport: (report: UnreadableReport) => void,
    private readonly traffic: ZoneTraffic,
  ) {}

  /** Never rejects: failures are results. */
  async send(
    request: CallerRequest,
    target: ReplicaTarget,
    { signal, connectWithin, onSent }: SendOptions,
  ): Promise<AttemptResult> {
    const remaining = Math.floor(request.deadline - this.clock.now());
    if (remaining < 1) return { kind: 'notRun', reason: NotRunReason.Unreachable };
    try {
      const response = await this.exchange(target, {
        method: request.method,
        path: request.target,
        headers: this.headersFor(request, target, remaining),
        requestId: request.id,
        ...this.bodyOf(request),
        signal,
        ...(connectWithin === undefined ? {} : { connectWithin }),
        ...(request.responses === undefined ? {} : { holder: request.responses }),
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

  /**
   * False for an answer that names another request; the client then closes the connection
   * immediately.
   */
  private isForRequest(request: CallerRequest, headers: HttpHeaders): boolean {
    const id = headers[this.headerNames.requestId];
    return id === undefined || id === request.id;
  }

  private classifyResponse(request: CallerRequest, response: HttpClientResponse): AttemptResult {
    const { status, headers, body } = response;
    const carriesId = headers[this.headerNames.requestId] === request.id;
    // Refusals are checked too: a late one of an earlier request may arrive in this answer's place.
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
