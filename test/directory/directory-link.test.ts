import { expect, it } from 'vitest';
import { GatewayHarness } from '../gateway/gateway-harness.js';

/** Between the gateway's start and the return of the controllers' power. */
const POWER_DELAY_MS = 300;
/** In which a gateway finds a controller that has just come back. */
const REDISCOVERY_MS = 350;

it('finds controllers soon whose machines had no power when the gateway started', async () => {
  const harness = await GatewayHarness.start();
  await harness.putRoutes([{ pathPrefix: '/ledger/', service: 'ledger' }]);
  harness.losePower();
  await harness.restartGateway();
  await harness.simulation.runFor(POWER_DELAY_MS);
  await harness.restartControllers();
  expect(harness.gateway.followedControllers).toBe(0);
  await harness.simulation.runFor(REDISCOVERY_MS);
  expect(harness.gateway.followedControllers).toBe(3);
});
