/** One router over back ends in memory, in virtual time. */
import { Registry } from 'prom-client';
import { routerConfigurationSchema } from '../../../src/configuration/router-configuration.js';
import type { QueryAnswer, QueryErrorBody } from '../../../src/model/query-answer.js';
import type {
  ServiceDefinition,
  ServiceKind,
  ShardLayout,
} from '../../../src/model/service-definition.js';
import { PureRandomSource } from '../../../src/node/pure-random-source.js';
import { SILENT_LOGGER } from '../../../src/observability/logger.js';
import { RouterDaemon } from '../../../src/router/router-daemon.js';
import { NO_ROUTER_FAULTS, type RouterFaults } from '../../../src/router/router-faults.js';
import type { HttpRequest, HttpResponse } from '../../../src/seams/http.js';
import type { ConfigurationState } from '../../../src/settings/configuration-state.js';
import type { SettingsOverride } from '../../../src/settings/service-settings.js';
import { FakeBackend } from './fake-backend.js';
import { FakeNetwork } from './fake-network.js';
import { FakeConfigurationSource } from './fake-configuration-source.js';
import { VirtualClock } from './virtual-clock.js';

export const SERVICE = 'kifu-audit';

export interface HarnessOptions {
  readonly kind?: ServiceKind;
  readonly shards?: number;
  readonly replicas?: number;
  readonly connections?: number;
  readonly settings?: SettingsOverride;
  readonly faults?: Partial<RouterFaults>;
  readonly limits?: Record<string, number>;
  readonly withoutConfiguration?: boolean;
}

/** Status, header and either kind of body. */
export interface Reply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly answer: QueryAnswer;
  readonly error: QueryErrorBody['error'];
}

const ROUTER = {
  name: 'router-1',
  region: 'dohoku',
  zone: 'nayoro',
  cluster: { id: 'dohoku', key: 'a-long-random-secret' },
  listen: { http: '127.0.0.1:7400' },
  controllers: [{ memberId: 'controller-1', address: '127.0.0.1:7500', zone: 'nayoro' }],
};

/** Replica `r` of shard `s` is `s{s}-r{r}`. */
export function createLayout(epoch: number, options: HarnessOptions): ShardLayout {
  const { shards = 2, replicas = 2, connections = 40 } = options;
  const zone = 'nayoro';
  return {
    layoutEpoch: epoch,
    shards: Array.from({ length: shards }, (_, shard) => ({
      shardId: `shard-${shard}`,
      replicas: Array.from({ length: replicas }, (_, replica) => ({
        replicaId: `s${shard}-r${replica}`,
        address: `10.0.${shard}.${replica}:80`,
        zone,
        slots: 5,
        connections,
      })),
    })),
  };
}

export function createState(
  revision: number,
  options: HarnessOptions,
  layouts: ShardLayout[] = [createLayout(1, options)],
): ConfigurationState {
  const { kind = 'sharded' } = options;
  const service: ServiceDefinition = { name: SERVICE, kind, region: 'dohoku', layouts };
  return {
    revision,
    regions: { dohoku: { name: 'dohoku', zones: ['nayoro'] } },
    services: { [SERVICE]: service },
    overrides: { [`service/${SERVICE}`]: options.settings ?? {} },
  };
}

export class RouterHarness {
  private constructor(
    readonly clock: VirtualClock,
    readonly backends: ReadonlyMap<string, FakeBackend>,
    readonly network: FakeNetwork,
    readonly source: FakeConfigurationSource,
    readonly metrics: Registry,
    readonly daemon: RouterDaemon,
  ) {}

  static async start(options: HarnessOptions = {}): Promise<RouterHarness> {
    const clock = new VirtualClock();
    const state = createState(1, options);
    const backends = new Map<string, FakeBackend>();
    const byAddress = new Map<string, FakeBackend>();
    for (const { replicas } of createLayout(1, options).shards) {
      for (const { replicaId, address } of replicas) {
        const backend = new FakeBackend(replicaId, address, clock);
        backends.set(replicaId, backend);
        byAddress.set(address, backend);
      }
    }
    const network = new FakeNetwork(byAddress);
    const source = new FakeConfigurationSource(
      options.withoutConfiguration === true ? undefined : state,
    );
    const metrics = new Registry();
    const random = new PureRandomSource(7);
    const limits = options.limits ?? {};
    const daemon = await RouterDaemon.start(
      { clock, network, random },
      routerConfigurationSchema.parse({ ...ROUTER, limits }),
      source,
      { logger: SILENT_LOGGER, registry: metrics },
      { ...NO_ROUTER_FAULTS, ...options.faults },
    );
    await clock.advance(50);
    return new RouterHarness(clock, backends, network, source, metrics, daemon);
  }

  backend(replicaId: string): FakeBackend {
    const backend = this.backends.get(replicaId);
    if (backend === undefined) throw new Error(`no back end ${replicaId}`);
    return backend;
  }

  /** Every attempt that any back end saw. */
  get attempts(): { readonly replicaId: string; readonly started: boolean }[] {
    return [...this.backends.values()].flatMap(({ replicaId, attempts: ledger }) =>
      ledger.map(({ started }) => ({ replicaId, started })),
    );
  }

  /** Sends a query and leaves time alone. */
  send(fields: Record<string, unknown>, signal?: AbortSignal, service = SERVICE): Promise<Reply> {
    const content = { requestId: 'request-1', query: { term: 'snow' }, ...fields };
    const body = Buffer.from(JSON.stringify(content));
    return this.post(`/v1/services/${service}/query`, body, signal).then(readReply);
  }

  /** Sends a query and moves time on until it is answered. */
  query(fields: Record<string, unknown> = {}): Promise<Reply> {
    return this.clock.runUntil(this.send(fields));
  }

  post(path: string, body: Uint8Array, signal?: AbortSignal): Promise<HttpResponse> {
    return this.request({ method: 'POST', path, body, signal: signal ?? neverAborts() });
  }

  get(path: string): Promise<HttpResponse> {
    const body = new Uint8Array();
    return this.request({ method: 'GET', path, body, signal: neverAborts() });
  }

  private request(
    request: Pick<HttpRequest, 'method' | 'path' | 'body' | 'signal'>,
  ): Promise<HttpResponse> {
    if (this.network.handler === undefined) throw new Error('not listening');
    const query = new URLSearchParams();
    return this.network.handler({
      ...request,
      target: request.path,
      query,
      headers: {},
      remoteAddress: '10.1.0.1',
    });
  }
}

function neverAborts(): AbortSignal {
  return new AbortController().signal;
}

function readReply({ status, headers = {}, body }: HttpResponse): Reply {
  const content = JSON.parse(Buffer.from(body).toString('utf8')) as QueryAnswer & QueryErrorBody;
  return { status, headers, answer: content, error: content.error };
}
