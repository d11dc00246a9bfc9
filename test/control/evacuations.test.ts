import { describe, expect, it } from 'vitest';
import { AutomaticGroup, SETTLE_MS } from './automatic-group.js';

async function submitOrder(
  group: AutomaticGroup,
  method: 'PUT' | 'DELETE',
  zone: string,
  controller = 0,
): Promise<number> {
  const machine = group.machineAt(controller);
  return (await group.call(machine, method, `/v1/evacuations/${zone}`)).status;
}

async function readEvacuatedZones(group: AutomaticGroup, controller = 0): Promise<unknown> {
  const { status, body } = await group.call(group.machineAt(controller), 'GET', '/v1/evacuations');
  expect(status).toBe(200);
  return (JSON.parse(Buffer.from(body).toString('utf8')) as { zones: string[] }).zones;
}

describe('evacuation orders', () => {
  it('are accepted by any controller, and repeating one changes nothing', async () => {
    const group = await AutomaticGroup.start(3);
    expect(await submitOrder(group, 'PUT', 'nayoro', 1)).toBe(200);
    expect(await submitOrder(group, 'PUT', 'nayoro', 2)).toBe(200);
    expect(await submitOrder(group, 'PUT', 'wakkanai', 0)).toBe(200);
    expect(await readEvacuatedZones(group, 2)).toEqual(['nayoro', 'wakkanai']);
    expect(await submitOrder(group, 'DELETE', 'nayoro', 0)).toBe(200);
    expect(await submitOrder(group, 'DELETE', 'nayoro', 1)).toBe(200);
    expect(await readEvacuatedZones(group, 0)).toEqual(['wakkanai']);
  });

  it('are refused for a zone that does not exist in the deployment', async () => {
    const group = await AutomaticGroup.start(3);
    expect(await submitOrder(group, 'PUT', 'elsewhere')).toBe(404);
    expect(await submitOrder(group, 'PUT', '')).toBe(404);
    expect(await submitOrder(group, 'PUT', '%ff')).toBe(400);
    expect(await readEvacuatedZones(group)).toEqual([]);
  });

  it('submitted to two controllers concurrently have the same outcome on every controller', async () => {
    const group = await AutomaticGroup.start(3);
    const statuses = await group.simulation.settle(
      Promise.all([
        group.send(group.machineAt(0), 'PUT', '/v1/evacuations/nayoro'),
        group.send(group.machineAt(1), 'DELETE', '/v1/evacuations/nayoro'),
      ]),
    );
    expect(statuses.map(({ status }) => status)).toEqual([200, 200]);
    const zones = await readEvacuatedZones(group, 2);
    expect(await readEvacuatedZones(group, 0)).toEqual(zones);
    expect(await readEvacuatedZones(group, 1)).toEqual(zones);
  });

  it('survive a power loss of all controllers and the loss of one disk', async () => {
    const group = await AutomaticGroup.start(3);
    expect(await submitOrder(group, 'PUT', 'nayoro')).toBe(200);
    for (const machine of group.machines) machine.crash({ power: true });
    const [first, ...others] = group.machines;
    if (first === undefined) return expect.fail('no controllers');
    await group.restart(first, false);
    for (const machine of others) await group.restart(machine, true);
    await group.simulation.runFor(SETTLE_MS);
    expect(await readEvacuatedZones(group, 1)).toEqual(['nayoro']);
    expect(await readEvacuatedZones(group, 0)).toEqual(['nayoro']);
  });

  it('survive the loss of two disks out of five', async () => {
    const group = await AutomaticGroup.start(5);
    expect(await submitOrder(group, 'PUT', 'nayoro', 3)).toBe(200);
    await group.restart(group.machineAt(0), false);
    await group.restart(group.machineAt(1), false);
    await group.simulation.runFor(2 * SETTLE_MS);
    expect(await readEvacuatedZones(group, 0)).toEqual(['nayoro']);
  });

  it('are not acknowledged by a controller without a quorum', async () => {
    const group = await AutomaticGroup.start(3);
    for (const machine of group.machines.slice(1)) machine.crash({ power: true });
    await group.simulation.runFor(SETTLE_MS);
    expect(await submitOrder(group, 'PUT', 'nayoro')).toBeGreaterThanOrEqual(500);
  });
});
