/**
 * A stand-in replica that speaks what gateways and replicas say to each other: it
 * registers itself with heartbeats, serves requests, and misbehaves as a test asks.
 */
import {
  DEFAULT_EXCHANGE_HEADERS,
  type ExchangeHeaders,
} from '../../src/gateway/exchange-headers.js';
import { formatAddress, type Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import type { HttpHeaders, HttpListener, HttpRequest, HttpResponse } from '../../src/seams/http.js';

const HEARTBEAT_INTERVAL_MS = 1_000;
export const DEFAULT_CAPACITY = 2;
const LISTEN_OPTIONS = {
  maximumBodyBytes: 1_048_576,
  maximumHeaderBytes: 65_536,
  requestTimeout: 10_000,
  maximumConnections: 100,
};
const CALL_OPTIONS = {
  connections: 1,
  maximumResponseBytes: 65_536,
  connectTimeout: 500,
  keepAliveTimeout: 5_000,
};

/** What the replica does with a request. */
export enum ReplicaBehaviour {
  Serve = 'serve',
  /** Says that it did not run the request. */
  Refuse = 'refuse',
  /** Says that another replica has this address now. */
  WrongReplica = 'wrongReplica',
  /** Runs it and closes the connection instead of answering. */
  LoseAnswer = 'loseAnswer',
  /** Runs it and answers under another request's id. */
  AnswerForOther = 'answerForOther',
  /** Runs it and answers without a signature. */
  Unsigned = 'unsigned',
  /** Runs it, and a late refusal of an earlier request comes in place of the answer. */
  RefuseUnnamed = 'refuseUnnamed',
  /** Runs it and answers with a failure of its own. */
  Fail = 'fail',
}

/** Who the replica is. */
export interface ExchangeReplicaOptions {
  readonly replicaId: string;
  readonly service: string;
  /** Where others reach it. */
  readonly address: Address;
  /** Where it listens, when that is behind a proxy; absent: at its address. */
  readonly listenAt?: Address;
  readonly zone: string;
  /** Where heartbeats go, the first that answers; `host:port` each. */
  readonly controllers: readonly Address[];
  readonly headers?: ExchangeHeaders;
  /** Requests that it says it can run at a time; {@link DEFAULT_CAPACITY} when absent. */
  readonly capacity?: number;
  /** When it says that it started; it does not say it when absent. Unix milliseconds. */
  readonly bornAt?: number;
}

/** What a replica has run. */
export interface ReplicaRun {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  /** As they arrived. */
  readonly headers: HttpHeaders;
  /** Milliseconds that the sender would wait, as it was told. */
  readonly deadlineMs: number;
  readonly at: number;
}

/** See the module comment. */
export class ExchangeReplica {
  behaviour = ReplicaBehaviour.Serve;
  /** Milliseconds. */
  workMs = 10;
  /** What a served request gets, before the signature. */
  content = '';
  /** What its answers say of its load. */
  loadReport = '1,0,2';
  /** How much longer it says that it stays cold. Milliseconds. */
  warmupMs = 0;
  /** Ends the replica's process; called when it has worked on a request to {@link crashesOn}. */
  crash: ((run: ReplicaRun) => void) | undefined;
  /** Target of requests under which it crashes; undefined when there are none. */
  crashesOn: string | undefined;
  /** Whether it stops work on a request whose connection was closed. */
  dropsAbandoned = true;
  readonly runs: ReplicaRun[] = [];
  /** Requests that arrived, run or not. */
  arrivals = 0;
  /** Requests without an id, which are health checks. */
  healthChecks = 0;
  private state = 'ready';
  private sequence = 0;
  private listener: HttpListener | undefined;
  private readonly stopped = new AbortController();
  private readonly names: ExchangeHeaders;

  constructor(
    private readonly environment: Environment,
    readonly options: ExchangeReplicaOptions,
  ) {
    this.names = options.headers ?? DEFAULT_EXCHANGE_HEADERS;
  }

  async start(): Promise<void> {
    const { network } = this.environment;
    const { address, listenAt = address } = this.options;
    this.listener = await network.listenHttp(listenAt, LISTEN_OPTIONS, (request) =>
      this.serve(request),
    );
    void this.beat();
  }

  /** Says that it leaves; true once a controller has acknowledged it. */
  async drain(): Promise<boolean> {
    this.state = 'draining';
    return this.register();
  }

  async stop(): Promise<void> {
    this.stopped.abort(new Error('stopped'));
    await this.listener?.close();
  }

  private async beat(): Promise<void> {
    const { clock } = this.environment;
    while (!this.stopped.signal.aborted) {
      await this.register();
      await clock.sleep(HEARTBEAT_INTERVAL_MS, this.stopped.signal).catch(() => undefined);
    }
  }

  private async register(): Promise<boolean> {
    const {
      replicaId,
      service,
      address,
      zone,
      controllers,
      bornAt,
      capacity = DEFAULT_CAPACITY,
    } = this.options;
    this.sequence += 1;
    const body = JSON.stringify({
      service,
      address: formatAddress(address),
      zone,
      capacity,
      state: this.state,
      sequence: this.sequence,
      warmupRemainingMs: this.warmupMs,
      ...(bornAt === undefined ? {} : { born: bornAt }),
    });
    for (const controller of controllers) {
      const client = this.environment.network.httpClient(controller, CALL_OPTIONS);
      const path = `/v1/replicas/${replicaId}`;
      const call = client.request({ method: 'PUT', path, headers: {}, body });
      const status = await call.then(
        (response) => response.status,
        () => undefined,
      );
      client.destroy();
      if (status === 200) return true;
    }
    return false;
  }

  private async serve(request: HttpRequest): Promise<HttpResponse> {
    const { clock } = this.environment;
    const requestId = request.headers[this.names.requestId];
    if (requestId === undefined) {
      this.healthChecks += 1;
      const { warmup, replicaId } = this.names;
      const headers = { [warmup]: String(this.warmupMs), [replicaId]: this.options.replicaId };
      return { status: 200, headers, body: '' };
    }
    this.arrivals += 1;
    const target = request.headers[this.names.targetReplica];
    const isNamed = target === undefined || target === this.options.replicaId;
    const isMine = isNamed && this.behaviour !== ReplicaBehaviour.WrongReplica;
    const named = { [this.names.requestId]: requestId };
    if (!isMine) return { status: 421, headers: named, body: '' };
    if (this.behaviour === ReplicaBehaviour.Refuse) {
      return { status: 503, headers: { ...named, [this.names.notExecuted]: '1' }, body: '' };
    }
    const run: ReplicaRun = {
      requestId,
      method: request.method,
      target: request.target,
      body: Buffer.from(request.body).toString('utf8'),
      headers: request.headers,
      deadlineMs: Number(request.headers[this.names.deadline]),
      at: clock.now(),
    };
    this.runs.push(run);
    await clock.sleep(this.workMs, this.dropsAbandoned ? request.signal : undefined);
    if (request.target === this.crashesOn) this.crash?.(run);
    return this.answer(requestId);
  }

  private answer(requestId: string): HttpResponse {
    const { requestId: idName, signature, load, notExecuted } = this.names;
    if (this.behaviour === ReplicaBehaviour.RefuseUnnamed) {
      return { status: 503, headers: { [notExecuted]: '1' }, body: '' };
    }
    const isOther = this.behaviour === ReplicaBehaviour.AnswerForOther;
    const signed =
      this.behaviour === ReplicaBehaviour.Unsigned
        ? {}
        : { [signature]: `${this.options.replicaId}.${requestId}` };
    const headers = {
      [idName]: isOther ? 'another' : requestId,
      ...signed,
      [load]: this.loadReport,
    };
    const status = this.behaviour === ReplicaBehaviour.Fail ? 500 : 200;
    const isLost = this.behaviour === ReplicaBehaviour.LoseAnswer;
    return { status, headers, body: this.content, ...(isLost ? { closeAfterBytes: 0 } : {}) };
  }
}
