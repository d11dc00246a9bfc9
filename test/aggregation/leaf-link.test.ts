import { Registry } from 'prom-client';
import { expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { AGGREGATION_CODEC } from '../../src/aggregation/aggregation-messages.js';
import { LeafLink } from '../../src/aggregation/leaf-link.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { ZoneTraffic } from '../../src/observability/zone-traffic.js';
import { AuthenticatedListener } from '../../src/protocol/authenticated-listener.js';
import { formatAddress } from '../../src/seams/address.js';
import { MAXIMUM_FRAME_BYTES, type MessageConnection } from '../../src/seams/message-connection.js';

const CLUSTER = { clusterId: 'dohoku', clusterKey: 'a-long-random-secret' };
const BODY_BYTES = 64 * 1024;
const GATHERS = 400;
/** Gathers are cancelled long before a leaf counts as silent. Milliseconds. */
const PATIENCE_MS = 100;
const IGNORE = { onReport: () => undefined, onDeclined: () => undefined, onLost: () => undefined };

const REQUEST = AGGREGATION_CODEC.encode({
  kind: 'request',
  requestId: 'id',
  method: 'POST',
  target: '/',
  headers: '{}',
  body: new Uint8Array(BODY_BYTES),
  totalShards: 1,
  routeName: '',
  routeHost: 'host',
  routePathPrefix: '/',
  routeVersion: 1,
  topRecords: 1,
  targetLatencyMs: 50,
  priority: 0,
});

const CALL = {
  kind: 'gather',
  request: REQUEST,
  shards: ['shard-a'],
  topRecords: 1,
  maximumAttempts: 1,
  elapsedMs: 0,
  leftMs: PATIENCE_MS,
  reportInMs: PATIENCE_MS,
  isRepeat: false,
} as const;

// Guards against requests that pile up for a leaf that reads none of them: each one is cancelled before
// the leaf counts as silent, so that nothing else closes the connection.
it('a link to a leaf that does not read is closed when too much is queued for it', async () => {
  const simulation = new Simulation(1);
  const root = simulation.createMachine('root', 'nayoro');
  const leaf = simulation.createMachine('leaf', 'nayoro');
  const address = { host: leaf.host, port: 7_000 };
  const hold = (connection: MessageConnection): Promise<void> => connection.closed;
  await simulation.settle(
    AuthenticatedListener.listen(
      leaf.environment,
      address,
      { ...CLUSTER, name: 'leaf' },
      { aggregation: hold },
      new Registry(),
    ),
  );
  const options = {
    environment: root.environment,
    identity: { ...CLUSTER, name: 'root' },
    logger: SILENT_LOGGER,
    traffic: new ZoneTraffic('nayoro', new Registry()),
  };
  const link = new LeafLink(options, {
    name: 'leaf',
    zone: 'nayoro',
    address: formatAddress(address),
  });
  link.connect();
  await simulation.runFor(PATIENCE_MS);
  let sentBytes = 0;
  for (let number = 0; number < GATHERS && link.isOpen; number += 1) {
    const gather = link.gather(CALL, IGNORE);
    sentBytes += BODY_BYTES;
    await simulation.runFor(PATIENCE_MS);
    gather?.cancel();
    link.closeIfSilent();
  }
  expect(link.isOpen).toBe(false);
  expect(sentBytes).toBeLessThanOrEqual(3 * MAXIMUM_FRAME_BYTES);
});
