/** Tests the planned stop of a controller while operators wait for it. */
import { expect, it } from 'vitest';
import { AutomaticGroup, routeDocument } from './automatic-group.js';

/** From the signal until the platform kills the process. */
const GRACE_MS = 6_000;

async function stopWithChangeInFlight(
  reachesQuorum: boolean,
  stopped: number,
): Promise<{ status: number; tookMs: number }> {
  const group = await AutomaticGroup.start(3);
  const { simulation } = group;
  const machine = group.machineAt(stopped);
  if (!reachesQuorum) {
    for (const other of group.machines) if (other !== machine) other.crash();
  }
  const answer = group.send(machine, 'PUT', '/v1/routes', routeDocument(1));
  await simulation.runFor(6);
  const startedAt = machine.environment.clock.now();
  const stop = group.daemons.get(machine)?.stop();
  const { status } = await simulation.settle(answer);
  await simulation.settle(stop ?? Promise.reject(new Error('expected a controller')));
  return { status, tookMs: machine.environment.clock.now() - startedAt };
}

it.each([0, 1, 2])(
  'acknowledges a change in flight at controller %d when it stops',
  async (index) => {
    const { status, tookMs } = await stopWithChangeInFlight(true, index);
    expect(status).toBe(200);
    expect(tookMs).toBeLessThan(GRACE_MS);
  },
);

// Guards against an operator whose connection is closed without an answer when the process is killed.
it.each([0, 1, 2])(
  'refuses a change in flight at controller %d in time when it reaches no quorum',
  async (index) => {
    const { status, tookMs } = await stopWithChangeInFlight(false, index);
    // 504 at the leader, which has recorded the change: it may still be committed.
    expect([503, 504]).toContain(status);
    expect(tookMs).toBeLessThan(GRACE_MS);
  },
);
