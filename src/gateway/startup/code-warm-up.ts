/**
 * Sends fan-outs to the gateway itself after its start, so that the runtime has
 * compiled what requests run before the first caller comes: until then a request
 * takes several times as long. Ends with the first request of a caller or another
 * gateway, and touches neither replicas nor what was learned of them.
 */
import { Registry } from 'prom-client';
import { AGGREGATION_CODEC } from '../../aggregation/aggregation-messages.js';
import { encodeRequest } from '../../aggregation/encode-request.js';
import { LeafServer } from '../../aggregation/leaf-server.js';
import { ALL_MECHANISMS } from '../../configuration/gateway-mechanisms.js';
import { DirectoryKind, ReplicaDirectory } from '../../directory/replica-directory.js';
import { RegisteredState } from '../../directory/replica-entry.js';
import { SILENT_LOGGER } from '../../observability/logger.js';
import { RouteTable } from '../../routes/route-table.js';
import { routeDocumentSchema } from '../../routes/route-document.js';
import { formatAddress, type Address } from '../../seams/address.js';
import type { Environment } from '../../seams/environment.js';
import type { CallerRequest } from '../caller-request.js';
import { createGatewayContext } from '../create-gateway-context.js';
import type { ExchangeHeaders } from '../exchange-headers.js';
import { FanOut } from '../fan-out.js';
import type { GatewayContext } from '../gateway-context.js';
import { ShardGather } from '../shard-gather.js';
import { InMemoryConnection } from './in-memory-connection.js';
import { WARM_UP_PATH } from './stand-in-replica.js';

/** Shards of each fan-out, and replicas of each of them. */
const SHARDS = ['shard-0', 'shard-1', 'shard-2', 'shard-3', 'shard-4', 'shard-5'];
const REPLICAS_PER_SHARD = 2;
/**
 * Fan-outs as a root and as many as a leaf. After some 300 requests the time of
 * one falls no further; all of them take about a tenth of a second of a core.
 */
const ROUNDS = 30;
/** Time for the daemon to become ready first, and between rounds for what else it has to do. Milliseconds. */
const START_DELAY_MS = 500;
const ROUND_PAUSE_MS = 10;
const REQUEST_TIMEOUT_MS = 2_000;
const TOP_RECORDS = 50;
const ZONE = 'warm-up';

/** What the warm-up needs of the gateway. */
export interface CodeWarmUpOptions {
  readonly environment: Environment;
  readonly headers: ExchangeHeaders;
  /** Of the health listener, which answers the requests. */
  readonly address: Address;
  /** No request has come yet, and the gateway goes on. */
  readonly isIdle: () => boolean;
}

function createTable(): RouteTable {
  const route = {
    host: 'warm-up',
    pathPrefix: '/',
    execution: 'repeatable',
    timeoutMs: REQUEST_TIMEOUT_MS,
    shards: SHARDS,
    topRecords: TOP_RECORDS,
    requiredCoverage: 0.5,
    maximumAttempts: 2,
  };
  const services = SHARDS.map((name) => ({ name }));
  return new RouteTable(routeDocumentSchema.parse({ version: 0, routes: [route], services }));
}

class CodeWarmUp {
  private readonly context: GatewayContext;
  private readonly directory: ReplicaDirectory;
  private readonly table = createTable();
  private round = 0;

  constructor(private readonly options: CodeWarmUpOptions) {
    const { environment, headers } = options;
    this.directory = new ReplicaDirectory(environment.clock, DirectoryKind.HearsChanges);
    this.context = createGatewayContext({
      environment,
      headers,
      telemetry: { logger: SILENT_LOGGER, registry: new Registry() },
      directory: this.directory,
      mechanisms: ALL_MECHANISMS,
      placement: { zone: ZONE, otherZoneCost: 0 },
      secondSends: { ratio: 0, slack: 0, windowMs: 1_000 },
      countGateways: () => 1,
    });
    this.registerReplicas();
  }

  async run(): Promise<void> {
    const { clock } = this.options.environment;
    await clock.sleep(START_DELAY_MS);
    while (this.round < ROUNDS && this.options.isIdle()) {
      this.round += 1;
      await this.fanOutAsRoot();
      await this.gatherAsLeaf();
      await clock.sleep(ROUND_PAUSE_MS);
    }
    this.context.targets.stop();
  }

  /** Replicas of every shard that are the gateway itself. */
  private registerReplicas(): void {
    const address = formatAddress(this.options.address);
    const common = { address, zone: ZONE, capacity: 2, sequence: 1, warmupMs: 0 };
    for (const service of SHARDS) {
      for (let copy = 0; copy < REPLICAS_PER_SHARD; copy += 1) {
        const replicaId = `${service}-${copy}`;
        this.directory.report({ ...common, replicaId, service, state: RegisteredState.Ready });
      }
    }
  }

  private createRequest(): CallerRequest {
    const now = this.options.environment.clock.now();
    const route = this.table.match('warm-up', WARM_UP_PATH);
    if (route === undefined) throw new Error('the route of the warm-up is missing');
    const { requestId } = this.options.headers;
    const id = `warm-up-${this.round}`;
    return {
      id,
      method: 'GET',
      target: WARM_UP_PATH,
      headers: { host: 'warm-up', [requestId]: id },
      body: new Uint8Array(0),
      signal: new AbortController().signal,
      table: this.table,
      route,
      receivedAt: now,
      deadline: now + REQUEST_TIMEOUT_MS,
    };
  }

  private async fanOutAsRoot(): Promise<void> {
    const { context } = this;
    const fanOut = new FanOut(
      context,
      this.createRequest(),
      SHARDS,
      (request, shards, listener) => [
        new ShardGather(
          context,
          request,
          { shards, totalShards: shards.length, isRepeat: false },
          listener,
        ),
      ],
    );
    await fanOut.run();
  }

  private async gatherAsLeaf(): Promise<void> {
    const { context, table } = this;
    const server = new LeafServer({ context, logger: SILENT_LOGGER, table: () => table });
    const [root, leaf] = InMemoryConnection.pair();
    const peer = { role: 'aggregation', name: 'warm-up', protocolVersion: 1 } as const;
    const served = server.serve(leaf, peer);
    const request = this.createRequest();
    const gather = AGGREGATION_CODEC.encode({
      kind: 'gather',
      gatherId: this.round,
      shards: JSON.stringify(SHARDS),
      maximumAttempts: 2,
      elapsedMs: 0,
      leftMs: REQUEST_TIMEOUT_MS,
      reportInMs: REQUEST_TIMEOUT_MS,
      isRepeat: false,
    });
    await root.send(Buffer.concat([encodeRequest(request, SHARDS.length), gather]));
    for (;;) {
      const frame = await root.receive();
      if (frame === undefined) break;
      const [report] = AGGREGATION_CODEC.decodeBatch(frame, 'warm-up');
      if (report?.kind !== 'parts' || report.isLast) break;
    }
    root.close();
    await served;
  }
}

/** Resolves when it is done, or has ended because a request came. */
export function warmUpCode(options: CodeWarmUpOptions): Promise<void> {
  return new CodeWarmUp(options).run();
}
