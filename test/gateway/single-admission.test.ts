import { describe, expect, it } from 'vitest';
import { ReplicaBehaviour } from '../../lab/exchange/exchange-replica.js';
import { GatewayHarness } from './gateway-harness.js';

const ROUTE = { pathPrefix: '/ledger/', service: 'ledger', targetLatencyMs: 1_000 };
const DEADLINE_MS = 2_000;

async function startRefusing(expectedWait: boolean): Promise<GatewayHarness> {
  const harness = await GatewayHarness.start(7, { mechanisms: { expectedWait } });
  const replicas = [await harness.addReplica('ledger'), await harness.addReplica('ledger')];
  await harness.putRoutes([ROUTE]);
  for (const replica of replicas) replica.behaviour = ReplicaBehaviour.Refuse;
  return harness;
}

async function retryAfterMs(harness: GatewayHarness): Promise<number> {
  const answer = await harness.call({ path: '/ledger/1', deadlineMs: DEADLINE_MS });
  expect(answer.status).toBe(503);
  return Number(answer.headers['retry-after']) * 1_000;
}

describe('a request to full replicas', () => {
  it('is refused with a retry delay within the remaining time of its caller', async () => {
    const harness = await startRefusing(true);
    const times = [await retryAfterMs(harness), await retryAfterMs(harness)];
    for (const time of times) {
      expect(time).toBeGreaterThanOrEqual(20);
      expect(time).toBeLessThanOrEqual(DEADLINE_MS * 0.3);
    }
    expect(times[0]).not.toBe(times[1]);
  });

  it('is refused with a retry delay of 500 ms if the mechanism is off', async () => {
    expect(await retryAfterMs(await startRefusing(false))).toBe(500);
  });
});
