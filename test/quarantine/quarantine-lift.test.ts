import { describe, expect, it } from 'vitest';
import type { QuarantineEntry } from '../../src/quarantine/quarantine-entry.js';
import { SETTLE_MS } from '../control/automatic-group.js';
import { Operator } from '../control/operator.js';
import { CrashingFleet, type CrashingFleetOptions } from './crashing-fleet.js';

const OPTIONS: CrashingFleetOptions = {
  services: ['ledger'],
  replicasPerService: 6,
  route: { pathPrefix: '/one/', service: 'ledger' },
  gateways: { others: 2 },
};
const PATH = '/v1/quarantine';
/** Longer than replicas take to restart, and a lift to reach every gateway. Milliseconds. */
const SETTLED_MS = 5_000;
const QUARANTINED = 429;
/** Longer than a request takes to be lifted and quarantined anew. */
const FREEZE_MS = 30_000;

async function quarantinedFleet(): Promise<CrashingFleet> {
  const fleet = await CrashingFleet.start('/one/crash', OPTIONS);
  await fleet.repeat(3, SETTLED_MS);
  return fleet;
}

async function list({ harness }: CrashingFleet, controller = 0): Promise<QuarantineEntry[]> {
  const { group } = harness;
  const { status, body } = await group.call(group.machineAt(controller), 'GET', PATH);
  expect(status).toBe(200);
  const text = Buffer.from(body).toString('utf8');
  return (JSON.parse(text) as { requests: QuarantineEntry[] }).requests;
}

async function lift(fleet: CrashingFleet, fingerprint: string, controller = 0): Promise<number> {
  const { group } = fleet.harness;
  const machine = group.machineAt(controller);
  return (await group.call(machine, 'DELETE', `${PATH}/${fingerprint}`)).status;
}

async function onlyFingerprint(fleet: CrashingFleet): Promise<string> {
  const [entry, ...others] = await list(fleet);
  expect(others).toEqual([]);
  return entry?.fingerprint ?? expect.fail('no request is listed');
}

describe('a quarantined request', () => {
  it('is listed for operators with the evidence about it', async () => {
    const fleet = await quarantinedFleet();
    for (const controller of [0, 1, 2]) {
      const [entry] = await list(fleet, controller);
      expect(entry).toMatchObject({
        state: 'quarantined',
        description: 'GET desk.example/one/crash',
      });
      expect(entry?.ended.length).toBeGreaterThanOrEqual(3);
      expect(entry?.endedInTrial.length).toBeGreaterThanOrEqual(2);
      const crashed = fleet.crashes.map(({ replicaId }) => replicaId);
      expect(crashed).toEqual(expect.arrayContaining([...(entry?.ended ?? [])]));
    }
  });

  it('is served by all gateways once it is lifted and crashes no replica any more', async () => {
    const fleet = await quarantinedFleet();
    const fingerprint = await onlyFingerprint(fleet);
    for (const replica of fleet.replicas.keys()) replica.crashesOn = undefined;
    expect(await lift(fleet, fingerprint, 1)).toBe(200);
    expect(await lift(fleet, fingerprint, 2)).toBe(200);
    await fleet.harness.simulation.runFor(SETTLED_MS);
    expect(await fleet.repeat(6, 10)).toEqual([200, 200, 200, 200, 200, 200]);
    expect(await list(fleet, 0)).toEqual([]);
  });

  it('is quarantined again when replicas terminate with it again after a lift', async () => {
    const fleet = await quarantinedFleet();
    await lift(fleet, await onlyFingerprint(fleet));
    await fleet.harness.simulation.runFor(SETTLED_MS);
    const statuses = await fleet.repeat(6, SETTLED_MS);
    expect(statuses[0]).toBe(502);
    expect(statuses.slice(3)).toEqual([QUARANTINED, QUARANTINED, QUARANTINED]);
  });

  it('stays lifted after a power loss of all machines and the loss of one disk', async () => {
    const fleet = await quarantinedFleet();
    const { harness } = fleet;
    for (const replica of fleet.replicas.keys()) replica.crashesOn = undefined;
    expect(await lift(fleet, await onlyFingerprint(fleet))).toBe(200);
    harness.losePower();
    for (const { machine } of harness.others) machine.crash({ power: true });
    const [first, ...others] = harness.group.machines;
    if (first === undefined) return expect.fail('no controllers');
    await harness.group.restart(first, false);
    for (const machine of others) await harness.group.restart(machine, true);
    await harness.restartGateway();
    await harness.simulation.runFor(SETTLE_MS);
    expect((await harness.call({ path: '/one/crash' })).status).toBe(200);
  });

  // Guards against a controller that carries out a lift it reads late, over a newer quarantine.
  it.each([0, 1, 2])('is not lifted by a call that was given up (controller %i)', async (late) => {
    const fleet = await quarantinedFleet();
    const fingerprint = await onlyFingerprint(fleet);
    const { group, simulation } = fleet.harness;
    const operator = new Operator(group);
    const other = (late + 1) % 3;
    group.machineAt(late).freeze(FREEZE_MS);
    expect(await operator.tryOnce('DELETE', `${PATH}/${fingerprint}`, late)).toBeUndefined();
    expect(await operator.order('DELETE', `${PATH}/${fingerprint}`, [other])).toBe(200);
    await simulation.runFor(SETTLED_MS);
    await fleet.repeat(3, SETTLED_MS);
    expect(await list(fleet, other)).toMatchObject([{ state: 'quarantined' }]);
    await simulation.runFor(FREEZE_MS);
    expect(await list(fleet, other)).toMatchObject([{ state: 'quarantined' }]);
    expect((await fleet.call({ path: '/one/crash' })).status).toBe(QUARANTINED);
  });

  it('is not lifted by an unknown fingerprint, nor without a quorum', async () => {
    const fleet = await quarantinedFleet();
    const fingerprint = await onlyFingerprint(fleet);
    expect(await lift(fleet, 'unknown')).toBe(404);
    const { group, simulation } = fleet.harness;
    for (const machine of group.machines.slice(1)) machine.crash({ power: true });
    await simulation.runFor(SETTLE_MS);
    expect(await lift(fleet, fingerprint)).toBeGreaterThanOrEqual(500);
    expect((await fleet.call({ path: '/one/crash' })).status).toBe(QUARANTINED);
  });
});
