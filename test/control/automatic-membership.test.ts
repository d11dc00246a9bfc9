import { describe, expect, it } from 'vitest';
import { AutomaticGroup, SETTLE_MS, routeDocument } from './automatic-group.js';

describe('automatic membership', () => {
  it('adds a founder that is not a seed', async () => {
    const group = await AutomaticGroup.start(4);
    expect((await group.putRoutes(group.machineAt(3), routeDocument(1))).status).toBe(200);
    // Of four voters, all remaining three are needed; of three voters, two would be enough.
    group.machineAt(0).crash();
    await group.simulation.runFor(SETTLE_MS);
    expect(await group.readRoutes(group.machineAt(3))).toBe(routeDocument(1));
  });

  it('keeps acknowledged documents when one disk is lost and all other controllers lose power', async () => {
    const group = await AutomaticGroup.start(3);
    expect((await group.putRoutes(group.machineAt(0), routeDocument(5))).status).toBe(200);
    await group.restart(group.machineAt(0), false);
    await group.restart(group.machineAt(1), true);
    await group.restart(group.machineAt(2), true);
    await group.simulation.runFor(SETTLE_MS);
    expect(await group.readRoutes(group.machineAt(0))).toBe(routeDocument(5));
    expect((await group.putRoutes(group.machineAt(0), routeDocument(6))).status).toBe(200);
  });

  it('replaces the members whose disks are lost one after the other', async () => {
    const group = await AutomaticGroup.start(3);
    expect((await group.putRoutes(group.machineAt(0), routeDocument(5))).status).toBe(200);
    for (const index of [0, 1, 2, 0]) {
      await group.restart(group.machineAt(index), false);
      await group.simulation.runFor(SETTLE_MS);
    }
    expect(await group.readRoutes(group.machineAt(1))).toBe(routeDocument(5));
  });

  it('replaces a lost machine by an empty one at another address', async () => {
    const group = await AutomaticGroup.start(3);
    expect((await group.putRoutes(group.machineAt(0), routeDocument(5))).status).toBe(200);
    group.machineAt(2).crash();
    await group.startOn(group.addMachine());
    await group.simulation.runFor(SETTLE_MS);
    // A majority of two remains only if the new machine is a voter.
    group.machineAt(1).crash();
    await group.simulation.runFor(SETTLE_MS);
    expect(await group.readRoutes(group.machineAt(3))).toBe(routeDocument(5));
  });

  it('readmits a member that was removed during its absence, as a new member', async () => {
    const group = await AutomaticGroup.start(3);
    group.machineAt(2).crash();
    await group.startOn(group.addMachine());
    await group.simulation.runFor(SETTLE_MS);
    await group.restart(group.machineAt(2), true);
    const daemon = group.daemons.get(group.machineAt(2)) ?? expect.fail('not running');
    await group.simulation.settle(daemon.failure);
    await group.simulation.settle(daemon.stop());
    await group.restart(group.machineAt(2), true);
    await group.simulation.runFor(SETTLE_MS);
    expect((await group.putRoutes(group.machineAt(2), routeDocument(8))).status).toBe(200);
  });
});

describe('route document', () => {
  it('is read back byte for byte in its highest version', async () => {
    const group = await AutomaticGroup.start(3);
    const [first, second, third] = group.machines;
    if (first === undefined || second === undefined || third === undefined) expect.fail();
    expect((await group.putRoutes(first, routeDocument(3))).status).toBe(200);
    expect((await group.putRoutes(second, routeDocument(3, 'other.example'))).status).toBe(200);
    expect((await group.putRoutes(third, routeDocument(2))).status).toBe(200);
    expect(await group.readRoutes(second)).toBe(routeDocument(3));
    expect((await group.putRoutes(third, routeDocument(4))).status).toBe(200);
    expect(await group.readRoutes(first)).toBe(routeDocument(4));
  });

  it('is refused when it is invalid, whatever its version', async () => {
    const group = await AutomaticGroup.start(3);
    const machine = group.machineAt(0);
    expect((await group.putRoutes(machine, routeDocument(3))).status).toBe(200);
    for (const version of [2, 3, 4]) {
      const wrong = routeDocument(version).replace('"timeoutMs":2000', '"timeoutMs":0');
      expect((await group.putRoutes(machine, wrong)).status).toBe(400);
      expect((await group.putRoutes(machine, routeDocument(version).slice(0, -9))).status).toBe(
        400,
      );
    }
    expect(await group.readRoutes(machine)).toBe(routeDocument(3));
  });

  it('is not served by a controller that cannot confirm that it is current', async () => {
    const group = await AutomaticGroup.start(3);
    expect((await group.putRoutes(group.machineAt(0), routeDocument(3))).status).toBe(200);
    group.machineAt(1).crash();
    group.machineAt(2).crash();
    const { status } = await group.call(group.machineAt(0), 'GET', '/v1/routes');
    expect(status).toBe(503);
  });
});
