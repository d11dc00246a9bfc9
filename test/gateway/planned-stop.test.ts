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

// Guards against a process that ends while a slow caller still takes its response.
it('waits for responses that are given up at the end of the drain to reach their callers', async () => {
  const clock = new ManualClock();
  const drain = new Drain(clock, new RouteLatencies());
  let inFlight = 1;
  let takeResponse = (): void => undefined;
  const closed = new Promise<void>((resolve) => (takeResponse = resolve));
  drain.onceEnded(() => (inFlight -= 1));
  let isDrained = false;
  const closeListener = (): Promise<void> => closed;
  const drained = drainCallers({
    clock,
    graceMs: GRACE_MS,
    drain,
    inFlight: () => inFlight,
    closeListener,
  });
  void drained.then(() => (isDrained = true));
  for (let passedMs = 0; passedMs < GRACE_MS * 0.92; passedMs += 10) {
    clock.advance(10);
    await Promise.resolve();
    await Promise.resolve();
  }
  expect([inFlight, isDrained]).toEqual([0, false]);
  takeResponse();
  await drained;
  expect(clock.pendingTimers).toBe(0);
});
