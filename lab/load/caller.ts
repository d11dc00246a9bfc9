/** A stand-in caller: sends queries to one router and notes what came back. */
import * as z from 'zod';
import { HttpClientError } from '../../src/errors/http-client-error.js';
import type { QueryAnswer, QueryErrorBody } from '../../src/model/query-answer.js';
import type { QueryRequest } from '../../src/model/query-request.js';
import type { Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import type { HttpClient, HttpClientResponse } from '../../src/seams/http.js';
import type { CallerLedger } from '../ledger/caller-ledger.js';
import type { CallerLedgerEntry, CallerOutcome } from '../ledger/caller-ledger-entry.js';
import { digestQuery } from '../ledger/derived-result.js';

const STATUS_OK = 200;
const MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;
const CONNECT_TIMEOUT = 1_000;
const KEEP_ALIVE_TIMEOUT = 4_000;
/** How long after its deadline a request is still waited for. Milliseconds. */
export const DEADLINE_GRACE = 2_000;
/** Deadline assumed where a request names none. Milliseconds. */
const ASSUMED_DEADLINE = 30_000;

/** Who calls, and whom. */
export interface CallerOptions {
  readonly name: string;
  /** Name of the router, for the ledger. */
  readonly target: string;
  readonly address: Address;
  readonly connections: number;
  /** Added before the request leaves and after the response came. Milliseconds. */
  readonly oneWayLatency: number;
  readonly ledger: CallerLedger;
}

/** One request to send. */
export interface CallerRequest {
  readonly service: string;
  /** Its `query` must differ from that of every other request of the run. */
  readonly request: Omit<QueryRequest, 'repeatable' | 'team'> &
    Partial<Pick<QueryRequest, 'repeatable' | 'team'>>;
  /** When the schedule wanted it sent, on the monotonic clock; now when absent. */
  readonly scheduledAt?: number;
}

/** The part of the outcome that depends on the response. */
type ResponseFacts = Pick<CallerLedgerEntry, 'outcome' | 'status' | 'answer' | 'error'>;

const answerSchema = z.looseObject({
  requestId: z.string(),
  service: z.string(),
  snapshot: z.looseObject({ layoutEpoch: z.number(), indexVersion: z.number() }),
  coverage: z.looseObject({
    required: z.number(),
    reached: z.array(z.string()),
    missing: z.array(z.looseObject({ shardId: z.string(), reason: z.string() })),
    fraction: z.number(),
  }),
  settingsRevision: z.number(),
  attempts: z.looseObject({ primary: z.number(), hedges: z.number(), retries: z.number() }),
  results: z.array(z.looseObject({ shardId: z.string(), result: z.unknown() })),
});

const errorSchema = z.looseObject({
  error: z.looseObject({
    code: z.enum([
      'bad_request',
      'refused_not_run',
      'insufficient_coverage',
      'failed',
      'outcome_unknown',
    ]),
    message: z.string(),
    mayHaveRun: z.boolean(),
  }),
});

function readResponse(response: HttpClientResponse): ResponseFacts {
  const { status } = response;
  let content: unknown;
  try {
    content = JSON.parse(Buffer.from(response.body).toString('utf8'));
  } catch {
    return { outcome: 'malformed_response', status };
  }
  if (status === STATUS_OK && answerSchema.safeParse(content).success) {
    return { outcome: 'answered', status, answer: content as QueryAnswer };
  }
  if (status !== STATUS_OK && errorSchema.safeParse(content).success) {
    const { error } = content as QueryErrorBody;
    return { outcome: error.code, status, error };
  }
  return { outcome: 'malformed_response', status };
}

function readFailure(error: unknown): CallerOutcome {
  if (!(error instanceof HttpClientError)) throw error;
  if (error.kind === 'aborted') return 'timed_out';
  if (!error.requestSent) return 'connect_failed';
  return error.kind === 'connection_lost' ? 'connection_lost' : 'malformed_response';
}

/** Sends any number of requests at once, each on a connection of its own. */
export class Caller {
  private readonly client: HttpClient;

  constructor(
    private readonly environment: Environment,
    private readonly options: CallerOptions,
  ) {
    this.client = environment.network.httpClient(options.address, {
      connections: options.connections,
      maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
      connectTimeout: CONNECT_TIMEOUT,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT,
    });
  }

  /** Sends one request and waits for its end; never rejects for what the router does. */
  async send(call: CallerRequest): Promise<CallerLedgerEntry> {
    const { clock } = this.environment;
    const { oneWayLatency, ledger } = this.options;
    const calledAt = clock.now();
    const scheduledAt = call.scheduledAt ?? calledAt;
    const sentAt = clock.wallTime();
    if (oneWayLatency > 0) await clock.sleep(oneWayLatency);
    const facts = await this.exchange(call);
    if (oneWayLatency > 0) await clock.sleep(oneWayLatency);
    const { requiredCoverage } = call.request;
    const entry: CallerLedgerEntry = {
      caller: this.options.name,
      target: this.options.target,
      service: call.service,
      requestId: call.request.requestId,
      queryDigest: digestQuery(call.request.query),
      repeatable: call.request.repeatable ?? true,
      keyed: call.request.key !== undefined,
      ...(requiredCoverage === undefined ? {} : { requiredCoverage }),
      deadlineMs: call.request.deadlineMs ?? ASSUMED_DEADLINE,
      scheduledAt: sentAt - (calledAt - scheduledAt),
      sentAt,
      endedAt: clock.wallTime(),
      latencyMs: clock.now() - scheduledAt,
      ...facts,
    };
    ledger.record(entry);
    return entry;
  }

  async close(): Promise<void> {
    await this.client.close();
  }

  private async exchange(call: CallerRequest): Promise<ResponseFacts> {
    const abandon = new AbortController();
    const patience = (call.request.deadlineMs ?? ASSUMED_DEADLINE) + DEADLINE_GRACE;
    const timer = this.environment.clock.setTimer(patience, () => abandon.abort());
    try {
      const response = await this.client.request({
        method: 'POST',
        path: `/v1/services/${call.service}/query`,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(call.request),
        signal: abandon.signal,
      });
      return readResponse(response);
    } catch (error) {
      return { outcome: readFailure(error) };
    } finally {
      timer.cancel();
    }
  }
}
