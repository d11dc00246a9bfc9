/** Tests the end of a planned stop of a gateway. */
import { expect, it } from 'vitest';
import { Drain } from '../../src/gateway/drain.js';
import { drainCallers } from '../../src/gateway/planned-stop.js';
import { RouteLatencies } from '../../src/gateway/route-latencies.js';
import { ManualClock } from '../support/manual-clock.js';

const GRACE_MS = 10_000;

// Guards against a process that stays until the end of the grace period though nothing is in flight.
it('leaves no timer once the listener has closed', async () => {
  const clock = new ManualClock();
  const drained = drainCallers({
    clock,
    graceMs: GRACE_MS,
    drain: new Drain(clock, new RouteLatencies()),
    inFlight: () => 0,
    closeListener: () => Promise.resolve(),
  });
  clock.advance(GRACE_MS * 0.6);
  await drained;
  expect(clock.pendingTimers).toBe(0);
});
