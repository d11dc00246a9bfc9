import { expect, it } from 'vitest';
import { GatewayHarness } from '../gateway/gateway-harness.js';

/** Time between the start of the gateway and the restart of the controllers. */
const POWER_DELAY_MS = 300;
/** Longest time in which a gateway connects to controllers that have just restarted. */
const REDISCOVERY_MS = 350;
/** Controllers that a gateway follows. */
const FOLLOWED = 2;

it('a gateway that started before its controllers connects to them soon after they start', async () => {
  const harness = await GatewayHarness.start();
  await harness.putRoutes([{ pathPrefix: '/ledger/', service: 'ledger' }]);
  harness.losePower();
  await harness.restartGateway();
  await harness.simulation.runFor(POWER_DELAY_MS);
  await harness.restartControllers();
  expect(harness.gateway.followedControllers).toBe(0);
  await harness.simulation.runFor(REDISCOVERY_MS);
  expect(harness.gateway.followedControllers).toBe(FOLLOWED);
});
