import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';
import { CONNECTION_ROLES, type ConnectionRole } from '../../src/protocol/connection-role.js';
import { dial } from '../../src/protocol/dial.js';
import { CLUSTER, MESSAGE_PORT } from '../control/automatic-group.js';
import { GatewayHarness } from '../gateway/gateway-harness.js';
import { ODD_FRAMES } from './support/odd-frames.js';

const SEED = 65;
const PEERS = 30;
const GATHER_PORT = 8002;
const CONNECT_TIMEOUT_MS = 500;
const FRAME_INTERVAL_MS = 20;
/** Longer than what a process waits for on behalf of most messages. */
const SETTLE_MS = 3_000;
const SHARDS = ['shard-a', 'shard-b'];
const ROUTE = { pathPrefix: '/q/', shards: SHARDS, topRecords: 3 };

let harness: GatewayHarness;
let peers: number;

beforeEach(async () => {
  peers = 0;
  harness = await GatewayHarness.start(SEED, { others: 1 });
  for (const shard of SHARDS) await harness.addReplica(shard, 'content');
  await harness.putRoutes([ROUTE]);
});

/** Where a peer of the role connects to: the gateway as a leaf, or a controller. */
function addressFor(role: ConnectionRole): { host: string; port: number } {
  if (role === 'aggregation') return { host: harness.machine.host, port: GATHER_PORT };
  return { host: harness.group.machineAt(0).host, port: MESSAGE_PORT };
}

/** Sends the frames over a connection of its own, whose peer holds the key. */
async function sendFrames(role: ConnectionRole, frames: readonly Uint8Array[]): Promise<void> {
  peers += 1;
  const { simulation } = harness;
  const { environment } = simulation.createMachine(`peer-${peers}`, 'nayoro');
  const identity = { clusterId: CLUSTER.id, clusterKey: CLUSTER.key, name: `peer-${peers}` };
  const target = { address: addressFor(role), role, connectTimeout: CONNECT_TIMEOUT_MS };
  const connection = await simulation.settle(dial(environment, identity, target));
  for (const frame of frames) {
    connection.send(frame).catch(() => undefined);
    await simulation.runFor(FRAME_INTERVAL_MS);
  }
  await simulation.runFor(SETTLE_MS);
  connection.close();
}

// Guards against a message that throws outside a task, later in a timer, or makes a task go round for ever.
describe('a message that is well formed and makes no sense', () => {
  it.each(CONNECTION_ROLES)('ends no process, from a peer for %s', async (role) => {
    const sending = fc.asyncProperty(ODD_FRAMES[role], (frames) => sendFrames(role, frames));
    await fc.assert(sending, { seed: SEED, numRuns: PEERS, endOnFailure: true });
    expect(await harness.readyStatus()).toBe(200);
    expect((await harness.call({ path: '/q/1' })).status).toBe(200);
  });
});
