import { Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';
import {
  AGGREGATION_CODEC,
  type AggregationMessage,
  type GatherMessage,
} from '../../src/aggregation/aggregation-messages.js';
import { LeafServer } from '../../src/aggregation/leaf-server.js';
import type { GatewayContext } from '../../src/gateway/gateway-context.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { ManualClock } from '../support/manual-clock.js';
import { InMemoryConnection } from './in-memory-connection.js';

const PEER = { role: 'aggregation', name: 'root', protocolVersion: 1 } as const;
const GATHER: GatherMessage = {
  kind: 'gather',
  gatherId: 1,
  shards: '["shard-a"]',
  maximumAttempts: 2,
  elapsedMs: 0,
  leftMs: 100,
  reportInMs: 50,
  isRepeat: false,
};
const REQUEST: AggregationMessage = {
  kind: 'request',
  requestId: 'id',
  method: 'GET',
  target: '/',
  headers: '{}',
  body: new Uint8Array(0),
  totalShards: 1,
  routeName: '',
  routeHost: 'host',
  routePathPrefix: '/',
  routeVersion: 1,
  topRecords: 1,
  targetLatencyMs: 50,
  priority: 0,
};

interface Served {
  readonly root: InMemoryConnection;
  readonly server: LeafServer;
  readonly ended: Promise<void>;
}

/** Serves a connection at a leaf that has no route document yet. */
function serve(): Served {
  const metrics = new GatewayMetrics(new Registry());
  const environment = { clock: new ManualClock() };
  const context = { metrics, environment } as unknown as GatewayContext;
  const server = new LeafServer({
    context,
    logger: SILENT_LOGGER,
    table: () => undefined,
    relay: () => expect.fail('no gather may start without a route document'),
  });
  const [root, leaf] = InMemoryConnection.pair();
  return { root, server, ended: server.serve(leaf, PEER).finally(() => leaf.close()) };
}

async function receive(root: InMemoryConnection): Promise<AggregationMessage | undefined> {
  const frame = await root.receive();
  return frame === undefined ? undefined : AGGREGATION_CODEC.decode(frame, 'leaf');
}

describe('a leaf', () => {
  it('declines a gather that it cannot start, and continues to serve the connection', async () => {
    const { root } = serve();
    await root.send(AGGREGATION_CODEC.encodeBatch([REQUEST, GATHER]));
    expect(await receive(root)).toMatchObject({ kind: 'declined', gatherId: 1 });
    await root.send(AGGREGATION_CODEC.encodeBatch([REQUEST, { ...GATHER, gatherId: 2 }]));
    expect(await receive(root)).toMatchObject({ kind: 'declined', gatherId: 2 });
  });

  it('announces that it is draining, also to roots that connect later', async () => {
    const { root, server } = serve();
    server.stop();
    expect(await receive(root)).toEqual({ kind: 'stopping' });
    const [late, leaf] = InMemoryConnection.pair();
    void server.serve(leaf, PEER);
    expect(await receive(late)).toEqual({ kind: 'stopping' });
  });

  it('ignores a cancel and a grant for an unknown gather', async () => {
    const { root } = serve();
    await root.send(AGGREGATION_CODEC.encode({ kind: 'cancel', gatherId: 7 }));
    await root.send(AGGREGATION_CODEC.encode({ kind: 'grant', gatherId: 7 }));
    await root.send(AGGREGATION_CODEC.encodeBatch([REQUEST, GATHER]));
    expect(await receive(root)).toMatchObject({ kind: 'declined' });
  });

  it.each([
    ['bytes that are not a message', Buffer.from([255, 1, 2])],
    ['a gather without a request', AGGREGATION_CODEC.encode(GATHER)],
    ['a message of a kind that only leaves send', AGGREGATION_CODEC.encode({ kind: 'stopping' })],
  ])('closes the connection after %s', async (_, frame) => {
    const { root, ended } = serve();
    await root.send(frame);
    await ended;
    expect(await root.receive()).toBeUndefined();
  });
});
