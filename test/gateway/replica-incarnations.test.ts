import { describe, expect, it } from 'vitest';
import { GatewayHarness } from './gateway-harness.js';

/** In which a gateway hears of a replica that registered. Milliseconds. */
const DISCOVERED_MS = 3_000;
const BORN_AT = 1_790_000_000_000;

async function startWithOneReplica() {
  const harness = await GatewayHarness.start();
  const replica = await harness.addReplica('ledger', 'first life', 'nayoro', BORN_AT);
  await harness.putRoutes([{ pathPrefix: '/ledger/', service: 'ledger' }]);
  return { harness, replica };
}

describe('a replica that starts again under its id', () => {
  it('is used again after it had drained', async () => {
    const { harness, replica } = await startWithOneReplica();
    expect(await harness.simulation.settle(replica.drain())).toBe(true);
    expect((await harness.call({ path: '/ledger/a' })).status).toBe(503);
    const next = harness.restartReplica(replica, BORN_AT + 60_000);
    await harness.simulation.runFor(DISCOVERED_MS);
    expect((await harness.call({ path: '/ledger/b' })).status).toBe(200);
    expect(next.runs).toHaveLength(1);
  });

  it('is used at once although its former life had failed until it was let be', async () => {
    const { harness, replica } = await startWithOneReplica();
    harness.machineOf(replica).crash();
    for (let call = 0; call < 8; call += 1) {
      expect((await harness.call({ path: '/ledger/a', deadlineMs: 300 })).status).not.toBe(200);
    }
    const next = harness.restartReplica(replica, BORN_AT + 60_000);
    await harness.simulation.runFor(DISCOVERED_MS);
    expect((await harness.call({ path: '/ledger/b', deadlineMs: 300 })).status).toBe(200);
    expect(next.runs).toHaveLength(1);
  });

  it('runs nothing again that is not repeatable and that its former life may have run', async () => {
    const { harness, replica } = await startWithOneReplica();
    const route = { pathPrefix: '/pay/', service: 'ledger', maximumAttempts: 4 } as const;
    await harness.putRoutes([{ ...route, execution: 'atMostOnce' }]);
    replica.workMs = 500;
    const sent = harness.send({ path: '/pay/once' });
    await harness.simulation.runFor(100);
    expect(replica.runs).toHaveLength(1);
    const next = harness.restartReplica(replica, BORN_AT + 60_000);
    const { status } = await harness.simulation.settle(sent);
    expect(status).toBe(502);
    await harness.simulation.runFor(DISCOVERED_MS);
    expect(next.runs).toEqual([]);
  });
});
