import { describe, expect, it } from 'vitest';
import { GatewayHarness } from './gateway-harness.js';

const ROUTE = { pathPrefix: '/ledger/', service: 'ledger' };
/** After this time the request has arrived and the first route document has not. Milliseconds. */
const ARRIVAL_MS = 3;

describe('a gateway without routes', () => {
  it('serves a request that arrived just before the first route document', async () => {
    const harness = await GatewayHarness.start();
    await harness.addReplica('ledger', 'whole');
    await harness.putRoutes([ROUTE]);
    await harness.restartGateway();
    const answer = await harness.call({ path: '/ledger/1' });
    expect(answer.status).toBe(200);
  });

  it('refuses a request as not run, in time for a retry, when no route document arrives soon', async () => {
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

  it('sends nothing to replicas for a caller that disconnected before the first route document', async () => {
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

  it('refuses at once when the startup time has passed without a route document', async () => {
    const harness = await GatewayHarness.start();
    const { clock } = harness.machine.environment;
    await harness.simulation.runFor(5_000);
    const sentAt = clock.now();
    expect((await harness.call({ path: '/ledger/1' })).status).toBe(503);
    expect(clock.now() - sentAt).toBeLessThan(20);
  });
});
