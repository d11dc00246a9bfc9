import { describe, expect, it } from 'vitest';
import { AutomaticGroup, SETTLE_MS, routeDocument } from './automatic-group.js';

/** More than a round trip to a controller, and less than any wait for a leader. */
const AT_ONCE_MS = 100;

async function callTimed(
  group: AutomaticGroup,
  controller: number,
  [method, path, body]: readonly [method: string, path: string, body?: string],
): Promise<{ readonly status: number; readonly elapsedMs: number }> {
  const startedAt = group.simulation.now;
  const { status } = await group.call(group.machineAt(controller), method, path, body);
  return { status, elapsedMs: group.simulation.now - startedAt };
}

const CALLS = [
  ['GET', '/v1/routes'],
  ['GET', '/v1/evacuations'],
  ['GET', '/v1/quarantine'],
  ['PUT', '/v1/routes', routeDocument(6)],
  ['PUT', '/v1/evacuations/nayoro'],
  ['DELETE', '/v1/quarantine/unknown'],
] as const;

describe('a controller without a quorum', () => {
  // Guards against calls that wait until their callers give up although no leader can be elected.
  it.each(CALLS)('refuses at once: %s %s', async (...call) => {
    const group = await AutomaticGroup.start(5);
    expect((await group.putRoutes(group.machineAt(0), routeDocument(5))).status).toBe(200);
    for (const machine of group.machines.slice(2)) machine.crash({ power: true });
    await group.simulation.runFor(SETTLE_MS);
    for (const controller of [0, 1]) {
      const { status, elapsedMs } = await callTimed(group, controller, call);
      expect(status).toBe(503);
      expect(elapsedMs).toBeLessThan(AT_ONCE_MS);
    }
  });

  it('answers a call that came during an election once it has ended', async () => {
    const group = await AutomaticGroup.start(3);
    expect((await group.putRoutes(group.machineAt(0), routeDocument(5))).status).toBe(200);
    for (const lost of group.machines) {
      lost.crash();
      for (const call of CALLS.slice(0, 5)) {
        const other = (group.machines.indexOf(lost) + 1) % 3;
        expect((await callTimed(group, other, call)).status).toBe(200);
      }
      await group.restart(lost, true);
      await group.simulation.runFor(SETTLE_MS);
    }
  });
});
