import { describe, expect, it } from 'vitest';
import { HeldResponses } from '../../src/gateway/held-responses.js';
import type { HttpClient } from '../../src/seams/http.js';
import type { Network } from '../../src/seams/network.js';
import { GatewayHarness } from './gateway-harness.js';

const SHARDS = ['shard-a', 'shard-b', 'shard-c'];
const ROUTE = { pathPrefix: '/q/', shards: SHARDS, topRecords: 3, requiredCoverage: 1 };
const LATE_MS = 60;

/** Records when responses of the paths below `/q/` come, and when they are released. */
function recordHolders(network: Network, events: string[]): void {
  const createClient = network.httpClient.bind(network);
  network.httpClient = (...options): HttpClient => {
    const client = createClient(...options);
    const request = client.request.bind(client);
    client.request = async (sent) => {
      const response = await request(sent);
      if (!sent.path.startsWith('/q/')) return response;
      events.push('received');
      sent.holder?.onceReleased(() => events.push('released'));
      return response;
    };
    return client;
  };
}

describe('the parts of a merged response', () => {
  // Guards against parts that no budget counts while they wait for the others.
  it('are held until the response is', async () => {
    const events: string[] = [];
    const harness = await GatewayHarness.start();
    recordHolders(harness.machine.environment.network, events);
    for (const shard of SHARDS) {
      const replica = await harness.addReplica(shard, 'x'.repeat(16));
      if (shard === 'shard-c') replica.workMs = LATE_MS;
    }
    await harness.putRoutes([ROUTE]);
    const answer = await harness.call({ path: '/q/1' });
    expect(answer.status).toBe(200);
    const received = SHARDS.map(() => 'received');
    expect(events).toEqual([...received, ...SHARDS.map(() => 'released')]);
  });

  it('are not held when they come later', () => {
    const responses = new HeldResponses();
    responses.release();
    let isReleased = false;
    responses.onceReleased(() => (isReleased = true));
    expect(isReleased).toBe(true);
  });
});
