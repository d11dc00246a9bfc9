/** A back end in memory that keeps a ledger and does as a test tells it. */
import { HttpClientError } from '../../../src/errors/http-client-error.js';
import {
  BACKEND_REPORT_PATH,
  BackendHeader,
  type BackendDisposition,
} from '../../../src/model/backend-protocol.js';
import type { HttpClientRequest, HttpClientResponse } from '../../../src/seams/http.js';
import type { VirtualClock } from './virtual-clock.js';

/** One attempt as the back end saw it. */
export interface RecordedAttempt {
  readonly requestId: string;
  /** Of the process that got it. */
  readonly incarnation: number;
  readonly attemptId: string;
  readonly shardId: string;
  readonly snapshot: string;
  readonly deadlineMs: number;
  readonly fresh: boolean;
  readonly at: number;
  started: boolean;
  finished: boolean;
  cancelled: boolean;
  cancelledAt?: number;
}

/** A reply in the making; a test may change anything about it. */
export interface ReplyDraft {
  disposition: BackendDisposition;
  /** Milliseconds until the reply is whole; Infinity for never. */
  latency: number;
  headers: Record<string, string>;
  body: string;
  /** Thrown instead of replying, after the latency. */
  error?: Error;
}

export class FakeBackend {
  incarnation = 1;
  draining = false;
  snapshots: string[] = ['1.1'];
  /** Connections are refused. */
  down = false;
  /** Reports do not arrive, queries do. */
  dropsReports = false;
  latency = 1;
  /** Bytes of a reply's body that arrive at once, long before the rest. */
  bytesAtOnce = 0;
  readonly attempts: RecordedAttempt[] = [];
  /** Changes a reply before it is sent. */
  tamper: (draft: ReplyDraft, entry: RecordedAttempt) => void = () => undefined;

  private crashCallbacks: (() => void)[] = [];

  constructor(
    readonly replicaId: string,
    readonly address: string,
    private readonly clock: VirtualClock,
  ) {}

  get started(): RecordedAttempt[] {
    return this.attempts.filter((entry) => entry.started);
  }

  async serve(request: HttpClientRequest, signal: AbortSignal): Promise<HttpClientResponse> {
    if (request.path === BACKEND_REPORT_PATH) return this.report(signal);
    const entry = this.record(request);
    const draft = this.draft(request, entry);
    this.tamper(draft, entry);
    entry.started = draft.disposition === 'answered' || draft.disposition === 'failed';
    draft.headers[BackendHeader.Disposition] ??= draft.disposition;
    signal.addEventListener('abort', () => {
      entry.cancelled = !entry.finished;
      entry.cancelledAt = this.clock.now();
    });
    await Promise.race([this.wait(draft.latency, signal), this.nextCrash()]);
    entry.finished = true;
    if (draft.error !== undefined) throw draft.error;
    return { status: 200, headers: draft.headers, body: Buffer.from(draft.body) };
  }

  /** Loses whatever is in flight and accepts nothing until {@link restart}. */
  crash(): void {
    this.down = true;
    const { crashCallbacks: callbacks } = this;
    this.crashCallbacks = [];
    for (const fail of callbacks) fail();
  }

  /** A new process, which has what the former one had on disk. */
  restart(): void {
    this.incarnation += 1;
    this.draining = false;
    this.down = false;
  }

  private nextCrash(): Promise<never> {
    return new Promise((_, reject) => {
      const lost = new HttpClientError('connection_lost', true, this.address);
      this.crashCallbacks.push(() => reject(lost));
    });
  }

  private async report(signal: AbortSignal): Promise<HttpClientResponse> {
    await this.wait(this.dropsReports ? Infinity : 1, signal);
    const { replicaId, incarnation, draining, snapshots } = this;
    const body = JSON.stringify({ replicaId, incarnation, draining, load: 0, snapshots });
    return { status: 200, headers: {}, body: Buffer.from(body) };
  }

  private wait(latency: number, signal: AbortSignal): Promise<void> {
    if (latency !== Infinity) return this.clock.sleep(latency, signal);
    return new Promise((_, reject) => {
      signal.addEventListener('abort', () => reject(signal.reason as Error));
    });
  }

  private record(request: HttpClientRequest): RecordedAttempt {
    const header = (name: string): string => request.headers[name] ?? '';
    const entry: RecordedAttempt = {
      requestId: header(BackendHeader.RequestId),
      incarnation: this.incarnation,
      attemptId: header(BackendHeader.AttemptId),
      shardId: header(BackendHeader.ShardId),
      snapshot: header(BackendHeader.Snapshot),
      deadlineMs: Number(header(BackendHeader.DeadlineMs)),
      fresh: request.freshConnection === true,
      at: this.clock.now(),
      started: false,
      finished: false,
      cancelled: false,
    };
    this.attempts.push(entry);
    return entry;
  }

  private draft(request: HttpClientRequest, entry: RecordedAttempt): ReplyDraft {
    const headers: Record<string, string> = {};
    for (const name of ['RequestId', 'AttemptId', 'Service', 'ShardId', 'Snapshot'] as const) {
      headers[BackendHeader[name]] = request.headers[BackendHeader[name]] ?? '';
    }
    headers[BackendHeader.Incarnation] = String(this.incarnation);
    if (this.draining) headers[BackendHeader.Draining] = 'true';
    const held = this.snapshots.includes(entry.snapshot);
    const refused = this.draining ? 'not_started' : 'snapshot_not_held';
    const disposition = held && !this.draining ? 'answered' : refused;
    const { requestId, shardId, snapshot } = entry;
    const body = JSON.stringify({ from: this.replicaId, requestId, shardId, snapshot });
    return { disposition, latency: this.latency, headers, body };
  }
}
