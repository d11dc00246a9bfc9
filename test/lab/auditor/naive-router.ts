/**
 * The least router that keeps the promises in fair weather, with a switch for
 * each way to break one. It proves the auditor; it shares no code with the
 * real router.
 */
import { HttpClientError } from '../../../src/errors/http-client-error.js';
import { BackendHeader, BACKEND_QUERY_PATH } from '../../../src/model/backend-protocol.js';
import type { MissingShard } from '../../../src/model/coverage.js';
import type { ShardResult } from '../../../src/model/query-answer.js';
import type { QueryRequest } from '../../../src/model/query-request.js';
import type { Environment } from '../../../src/seams/environment.js';
import type { HttpListener, HttpRequest, HttpResponse } from '../../../src/seams/http.js';
import type { Backend } from '../../../lab/backend/backend.js';

/** Ways to break a promise. */
export type NaiveFault =
  | 'old_snapshot_for_last_shard'
  | 'conceal_missing_shards'
  | 'claim_missing_as_reached'
  | 'overstate_fraction'
  | 'results_of_previous_request'
  | 'name_another_request'
  | 'halve_a_result'
  | 'drop_a_result'
  | 'refuse_after_running'
  | 'send_twice'
  | 'replan_on_older_snapshot'
  | 'close_without_answer'
  | 'never_answer'
  | 'revert_settings';

const LIMITS = {
  maximumBodyBytes: 65_536,
  maximumHeaderBytes: 16_384,
  requestTimeout: 10_000,
  maximumConnections: 100,
};
const CLIENT = {
  connections: 10,
  maximumResponseBytes: 65_536,
  connectTimeout: 1_000,
  keepAliveTimeout: 1_000,
};
const FIRST_REVISION = 7;

/** One answer's parts before they are put together. */
interface Merge {
  results: ShardResult[];
  missing: MissingShard[];
}

export class NaiveRouter {
  fault: NaiveFault | undefined;
  private attempts = 0;
  private answers = 0;
  private previous: ShardResult[] = [];
  private listener: HttpListener | undefined;

  private constructor(
    private readonly environment: Environment,
    private readonly backends: readonly Backend[],
  ) {}

  static async start(environment: Environment, backends: Backend[]): Promise<NaiveRouter> {
    const router = new NaiveRouter(environment, backends);
    const address = { host: '127.0.0.1', port: 0 };
    router.listener = await environment.network.listenHttp(address, LIMITS, (request) =>
      router.serve(request),
    );
    return router;
  }

  get address(): { host: string; port: number } {
    return this.listener?.address ?? { host: '', port: 0 };
  }

  async stop(): Promise<void> {
    await this.listener?.close();
  }

  private async serve(request: HttpRequest): Promise<HttpResponse> {
    const query = JSON.parse(Buffer.from(request.body).toString()) as QueryRequest;
    const service = request.path.split('/')[3] ?? '';
    const merge = await this.fanOut(service, query);
    if (this.fault === 'send_twice') await this.fanOut(service, query);
    if (this.fault === 'replan_on_older_snapshot') await this.fanOut(service, query, '1.1');
    if (this.fault === 'never_answer') await new Promise(() => undefined);
    if (this.fault === 'close_without_answer') return { status: 500, body: '', closeAfterBytes: 0 };
    if (this.fault === 'refuse_after_running') return this.refuse(query, service);
    const answer = this.buildAnswer(service, query, this.distort(merge));
    this.previous = merge.results;
    return { status: 200, body: JSON.stringify(answer) };
  }

  private async fanOut(service: string, query: QueryRequest, snapshot = '1.2'): Promise<Merge> {
    const merge: Merge = { results: [], missing: [] };
    for (const [position, backend] of this.backends.entries()) {
      const last = position === this.backends.length - 1;
      const old = last && this.fault === 'old_snapshot_for_last_shard';
      const shardId = backend.options.shardIds[0] ?? '';
      const result = await this.ask(backend, service, query, old ? '1.1' : snapshot);
      if (result === undefined) merge.missing.push({ shardId, reason: 'connect_failed' });
      else merge.results.push({ shardId, result });
    }
    return merge;
  }

  private async ask(
    backend: Backend,
    service: string,
    query: QueryRequest,
    snapshot: string,
  ): Promise<unknown> {
    const client = this.environment.network.httpClient(backend.address, CLIENT);
    this.attempts += 1;
    try {
      const response = await client.request({
        method: 'POST',
        path: BACKEND_QUERY_PATH,
        headers: {
          [BackendHeader.RequestId]: query.requestId,
          [BackendHeader.AttemptId]: `attempt-${this.attempts}`,
          [BackendHeader.Service]: service,
          [BackendHeader.ShardId]: backend.options.shardIds[0] ?? '',
          [BackendHeader.Snapshot]: snapshot,
          [BackendHeader.DeadlineMs]: '1000',
          [BackendHeader.Repeatable]: String(query.repeatable),
        },
        body: JSON.stringify(query.query),
      });
      if (response.headers[BackendHeader.Disposition] !== 'answered') return undefined;
      return JSON.parse(Buffer.from(response.body).toString());
    } catch (error) {
      if (error instanceof HttpClientError) return undefined;
      throw error;
    } finally {
      client.destroy();
    }
  }

  private distort(merge: Merge): Merge {
    const { results, missing } = merge;
    if (this.fault === 'results_of_previous_request') return { results: this.previous, missing };
    if (this.fault === 'conceal_missing_shards') return { results, missing: [] };
    if (this.fault === 'halve_a_result') {
      const [first, ...others] = results;
      return { results: [{ shardId: first?.shardId ?? '', result: {} }, ...others], missing };
    }
    return merge;
  }

  private buildAnswer(service: string, query: QueryRequest, { results, missing }: Merge): unknown {
    this.answers += 1;
    const reached = results.map(({ shardId }) => shardId);
    const merged = this.fault === 'drop_a_result' ? results.slice(1) : results;
    const claimed = this.fault === 'claim_missing_as_reached';
    const concealed = claimed ? missing.map(({ shardId }) => shardId) : [];
    const fraction = reached.length / (reached.length + missing.length);
    const reverted = this.fault === 'revert_settings' ? this.answers : 0;
    return {
      requestId: this.fault === 'name_another_request' ? 'somebody-else' : query.requestId,
      service,
      snapshot: { layoutEpoch: 1, indexVersion: 2 },
      coverage: {
        required: 0.5,
        reached: [...reached, ...concealed],
        missing: claimed ? [] : missing,
        fraction: claimed || this.fault === 'overstate_fraction' ? 1 : fraction,
      },
      settingsRevision: FIRST_REVISION - reverted,
      attempts: { primary: this.backends.length, hedges: 0, retries: 0 },
      results: merged,
    };
  }

  private refuse(query: QueryRequest, service: string): HttpResponse {
    const error = {
      code: 'refused_not_run',
      message: 'too busy',
      requestId: query.requestId,
      service,
      mayHaveRun: false,
    };
    return { status: 503, body: JSON.stringify({ error }) };
  }
}
