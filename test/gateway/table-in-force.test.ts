import { describe, expect, it } from 'vitest';
import { GatewayHarness } from './gateway-harness.js';

const ROUTE = { pathPrefix: '/ledger/', service: 'ledger' };
/** The request has arrived, and the first routes have not. */
const ARRIVAL_MS = 3;

describe('a gateway without routes', () => {
  it('serves what came just before its first routes', async () => {
    const harness = await GatewayHarness.start();
    await harness.addReplica('ledger', 'whole');
    await harness.putRoutes([ROUTE]);
    await harness.restartGateway();
    const answer = await harness.call({ path: '/ledger/1' });
    expect(answer.status).toBe(200);
  });

  it('refuses as not run when they do not come soon, with time left to ask again', async () => {
    const harness = await GatewayHarness.start();
    harness.losePower();
    await harness.restartGateway();
    const { clock } = harness.machine.environment;
    const sentAt = clock.now();
    const answer = await harness.call({ path: '/ledger/1', deadlineMs: 1_000 });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    expect(clock.now() - sentAt).toBeLessThan(300);
  });

  it('sends nothing for a caller that has gone before they came', async () => {
    const harness = await GatewayHarness.start();
    const replica = await harness.addReplica('ledger', 'whole');
    await harness.putRoutes([ROUTE]);
    await harness.restartGateway();
    const gone = new AbortController();
    const answer = harness.send({ path: '/ledger/1', signal: gone.signal }).catch(() => undefined);
    await harness.simulation.runFor(ARRIVAL_MS);
    gone.abort();
    await answer;
    await harness.simulation.runFor(2_000);
    expect(replica.arrivals).toBe(0);
  });

  it('refuses at once when it has long been without', async () => {
    const harness = await GatewayHarness.start();
    const { clock } = harness.machine.environment;
    await harness.simulation.runFor(5_000);
    const sentAt = clock.now();
    expect((await harness.call({ path: '/ledger/1' })).status).toBe(503);
    expect(clock.now() - sentAt).toBeLessThan(20);
  });
});
