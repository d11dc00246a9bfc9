import { expect, it } from 'vitest';
import { GatewayHarness } from '../gateway-harness.js';

const ROUTE = { pathPrefix: '/ledger/', service: 'ledger' };

it('sends nothing to replicas, and leaves nothing behind in the counters and lines', async () => {
  const harness = await GatewayHarness.start(7, { mechanisms: { codeWarmUp: true }, others: 1 });
  const replica = await harness.addReplica('ledger');
  await harness.putRoutes([ROUTE]);
  expect(replica.arrivals).toBe(0);
  const [other] = harness.others;
  const attempts = await other?.registry.getSingleMetric('driftway_gateway_attempts_total')?.get();
  expect(attempts?.values).toEqual([]);
  expect(other?.lines.filter(({ message }) => message.startsWith('request'))).toEqual([]);
  expect(other?.lines.filter(({ message }) => message === 'code not warmed up')).toEqual([]);
});

it('does not keep a request that comes in its midst from being served', async () => {
  const harness = await GatewayHarness.start(7, { mechanisms: { codeWarmUp: true } });
  await harness.addReplica('ledger');
  await harness.putRoutes([ROUTE]);
  await harness.restartGateway();
  const { status } = await harness.call({ path: '/ledger/1' });
  expect(status).toBe(200);
});
