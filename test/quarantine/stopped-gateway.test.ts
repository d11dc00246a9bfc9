/** Tests that nothing of a gateway runs on after its stop. */
import { expect, it } from 'vitest';
import { CrashingFleet } from './crashing-fleet.js';

const CRASHING = '/one/crash';
const LOOK_UP = { pathPrefix: '/one/', service: 'ledger' };
/** Timers of requests that had ended, and of connections, run out within this time. Milliseconds. */
const SETTLED_MS = 5_000;
const OBSERVED_MS = 20_000;

// Guards against a process that stays after its stop because it repeats reports to no controller.
it('a stopped gateway starts no timer, with evidence that no controller takes', async () => {
  const fleet = await CrashingFleet.start(CRASHING, {
    services: ['ledger'],
    replicasPerService: 3,
    route: LOOK_UP,
  });
  const { harness } = fleet;
  for (const controller of harness.group.machines) controller.crash();
  await fleet.call({ path: CRASHING });
  expect(fleet.crashes.length).toBeGreaterThan(0);
  await harness.simulation.settle(harness.gateway.stop());
  await harness.simulation.runFor(SETTLED_MS);

  const { clock } = harness.machine.environment;
  const setTimer = clock.setTimer.bind(clock);
  let started = 0;
  clock.setTimer = (milliseconds, callback) => {
    started += 1;
    return setTimer(milliseconds, callback);
  };
  await harness.simulation.runFor(OBSERVED_MS);
  expect(started).toBe(0);
});
