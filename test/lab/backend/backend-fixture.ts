/** A stand-in back end on a real loopback socket, and requests to it. */
import { HttpClientError } from '../../../src/errors/http-client-error.js';
import { BackendHeader, BACKEND_QUERY_PATH } from '../../../src/model/backend-protocol.js';
import { NodeNetwork } from '../../../src/node/node-network.js';
import { PureRandomSource } from '../../../src/node/pure-random-source.js';
import type { Environment } from '../../../src/seams/environment.js';
import type { HttpClientResponse } from '../../../src/seams/http.js';
import { Backend } from '../../../lab/backend/backend.js';
import {
  DEFAULT_BACKEND_OPTIONS,
  type BackendOptions,
} from '../../../lab/backend/backend-options.js';
import { BackendLedger } from '../../../lab/ledger/backend-ledger.js';
import { ManualClock } from '../../support/manual-clock.js';

export const LOOPBACK = { host: '127.0.0.1', port: 0 };
const LONG_DEADLINE = 30_000;

/** One request's headers that matter to a test. */
export interface TestQuery {
  readonly attemptId?: string;
  readonly shardId?: string;
  readonly snapshot?: string;
  readonly deadline?: number;
  readonly signal?: AbortSignal;
}

/** A back end on real sockets and a manual clock, its ledger, and a client of it. */
export class BackendFixture {
  readonly ledger: BackendLedger;
  readonly clock: ManualClock;

  private constructor(
    private readonly environment: Environment & { readonly clock: ManualClock },
    readonly backend: Backend,
  ) {
    this.clock = environment.clock;
    this.ledger = backend.options.ledger;
  }

  static async start(options: Partial<BackendOptions> = {}): Promise<BackendFixture> {
    const environment = {
      network: new NodeNetwork(),
      clock: new ManualClock(),
      random: new PureRandomSource(7),
    };
    const backend = await Backend.start(environment, {
      ...DEFAULT_BACKEND_OPTIONS,
      address: LOOPBACK,
      replicaId: 'replica-1',
      service: 'kifu-audit',
      shardIds: ['shard-0'],
      serviceTime: {
        distribution: { kind: 'constant', mean: 0 },
        stragglers: { share: 0, minimumFactor: 1, maximumFactor: 1 },
      },
      ledger: new BackendLedger(environment.clock),
      ...options,
    });
    return new BackendFixture(environment, backend);
  }

  /** Sends one query on a connection of its own. */
  async query(query: TestQuery = {}): Promise<HttpClientResponse> {
    const client = this.environment.network.httpClient(this.backend.address, {
      connections: 1,
      maximumResponseBytes: 1_000_000,
      connectTimeout: 1_000,
      keepAliveTimeout: 1_000,
    });
    try {
      return await client.request({
        method: 'POST',
        path: BACKEND_QUERY_PATH,
        headers: {
          [BackendHeader.RequestId]: 'request-1',
          [BackendHeader.AttemptId]: query.attemptId ?? 'attempt-1',
          [BackendHeader.Service]: 'kifu-audit',
          [BackendHeader.ShardId]: query.shardId ?? 'shard-0',
          [BackendHeader.Snapshot]: query.snapshot ?? '1.1',
          [BackendHeader.DeadlineMs]: String(query.deadline ?? LONG_DEADLINE),
          [BackendHeader.Repeatable]: 'true',
        },
        body: '{"text":"snow"}',
        ...(query.signal === undefined ? {} : { signal: query.signal }),
      });
    } finally {
      client.destroy();
    }
  }

  /** The kind of failure of a query that must fail. */
  async failureOf(query: TestQuery = {}): Promise<string> {
    try {
      const response = await this.query(query);
      return `status ${response.status}`;
    } catch (error) {
      if (error instanceof HttpClientError) return error.kind;
      throw error;
    }
  }
}

/** The disposition a reply carries. */
export function dispositionOf(response: HttpClientResponse): string | undefined {
  return response.headers[BackendHeader.Disposition];
}
