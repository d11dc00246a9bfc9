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
import { DecisionLog } from '../../observability/decision-log.js';
import { SILENT_LOGGER } from '../../observability/logger.js';
import { RouteTable } from '../../routes/route-table.js';
import { routeDocumentSchema } from '../../routes/route-document.js';
import { formatAddress, type Address } from '../../seams/address.js';
import type { Environment } from '../../seams/environment.js';
import type { CallerRequest } from '../caller-request.js';
import type { ExchangeHeaders } from '../exchange-headers.js';
import { FanOut } from '../fan-out.js';
import { FleetShares } from '../fleet-shares.js';
import type { GatewayContext } from '../gateway-context.js';
import { GatewayMetrics } from '../gateway-metrics.js';
import { OverloadShedding } from '../overload-shedding.js';
import { ReplicaChoice } from '../replica-choice.js';
import { RequestDecisions } from '../request-decisions.js';
import { RouteLatencies } from '../route-latencies.js';
import { AttemptSender } from '../send-attempt.js';
import { ServiceTargets } from '../service-targets.js';
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

/** What the warm-up needs of the gateway. */
export interface CodeWarmUpOptions {
  readonly environment: Environment;
  readonly headers: ExchangeHeaders;
  /** Of the health listener, which answers the requests. */
  readonly address: Address;
  /** No request has come yet, and the gateway goes on. */
  readonly isIdle: () => boolean;
}

/** A gateway's parts around replicas that are the gateway itself. */
function createContext({ environment, headers, address }: CodeWarmUpOptions): GatewayContext {
  const { clock, random } = environment;
  const directory = new ReplicaDirectory(clock, DirectoryKind.HearsChanges);
  const targets = new ServiceTargets(environment, directory);
  for (const service of SHARDS) {
    for (let copy = 0; copy < REPLICAS_PER_SHARD; copy += 1) {
      directory.report({
        replicaId: `${service}-${copy}`,
        service,
        address: formatAddress(address),
        zone: 'warm-up',
        capacity: 2,
        state: RegisteredState.Ready,
        sequence: 1,
        warmupMs: 0,
      });
    }
  }
  const limits = { ratio: 0, slack: 0, windowMs: 1_000 };
  return {
    environment,
    headers,
    mechanisms: ALL_MECHANISMS,
    targets,
    choice: new ReplicaChoice(clock, random, { zone: 'warm-up', otherZoneCost: 0 }, ALL_MECHANISMS),
    sender: new AttemptSender(clock, headers),
    latencies: new RouteLatencies(),
    shares: new FleetShares(clock, limits, () => 1, false),
    shedding: new OverloadShedding(random),
    decisions: new RequestDecisions(clock, new DecisionLog(clock, SILENT_LOGGER)),
    metrics: new GatewayMetrics(new Registry()),
  };
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
  private readonly table = createTable();
  private round = 0;

  constructor(private readonly options: CodeWarmUpOptions) {
    this.context = createContext(options);
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
