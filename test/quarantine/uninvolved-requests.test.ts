/*
 * Requests that run on a replica beside a crashing request lose the replica too. So do requests in
 * flight when a replica terminates because of a zone failure or a release, or loses its
 * connections. None of these requests may be quarantined.
 */
import { describe, expect, it } from 'vitest';
import { ReplicaBehaviour } from '../../lab/exchange/exchange-replica.js';
import { CrashingFleet, type CrashingFleetOptions } from './crashing-fleet.js';

const SHARDS = ['shard-a', 'shard-b', 'shard-c', 'shard-d', 'shard-e', 'shard-f'];
const FAN_OUT = { pathPrefix: '/q/', shards: SHARDS, topRecords: 3, requiredCoverage: 0.6 };
/** A retry budget that is never exhausted, since these tests rely on retries on other replicas. */
const UNLIMITED_RETRIES = { ratio: 1, slack: 10_000 };
const FAN_OUT_FLEET: CrashingFleetOptions = {
  services: SHARDS,
  replicasPerService: 3,
  route: FAN_OUT,
  gateways: { others: 3, secondSends: UNLIMITED_RETRIES },
  workMs: 30,
};
const LOOK_UP_FLEET: CrashingFleetOptions = {
  services: ['ledger'],
  replicasPerService: 6,
  route: { pathPrefix: '/q/', service: 'ledger' },
  gateways: { others: 3, secondSends: UNLIMITED_RETRIES },
  workMs: 30,
};
const TWO_ZONES = ['nayoro', 'wakkanai'];
/** Longer than terminated replicas take to restart and register. Milliseconds. */
const RECOVERY_MS = 6_000;
const QUARANTINED = 429;

const FLEETS: [string, CrashingFleetOptions][] = [
  ['to all shards', FAN_OUT_FLEET],
  ['to one service', LOOK_UP_FLEET],
];

async function statusesOf(fleet: CrashingFleet, paths: readonly string[]): Promise<number[]> {
  const sent = paths.map((path) => fleet.send({ path }));
  return (await fleet.harness.simulation.settle(Promise.all(sent))).map(({ status }) => status);
}

/** Sends a request to `pathOf(index)` every 10 milliseconds; returns the statuses. */
async function sendFor(
  fleet: CrashingFleet,
  milliseconds: number,
  pathOf: (index: number) => string,
): Promise<number[]> {
  const { simulation } = fleet.harness;
  const sent: Promise<number>[] = [];
  for (let index = 0; index * 10 < milliseconds; index += 1) {
    sent.push(fleet.send({ path: pathOf(index) }).then(({ status }) => status));
    await simulation.runFor(10);
  }
  return simulation.settle(Promise.all(sent));
}

function countOf(statuses: readonly number[], status: number): number {
  return statuses.filter((other) => other === status).length;
}

describe.each(FLEETS)('requests %s', (_, options) => {
  it('are never quarantined when they run beside a crashing request', async () => {
    const fleet = await CrashingFleet.start('/q/crash', options);
    const paths = Array.from({ length: 12 }, (__, index) => `/q/beside-${index}`);
    for (let round = 0; round < 4; round += 1) {
      const sent = paths.map((path) => fleet.send({ path }));
      const crash = fleet.send({ path: '/q/crash' });
      await fleet.harness.simulation.settle(Promise.all([crash, ...sent]));
      expect(countOf(await statusesOf(fleet, paths), QUARANTINED)).toBe(0);
      await fleet.harness.simulation.runFor(RECOVERY_MS);
      expect(countOf(await statusesOf(fleet, paths), 200)).toBe(paths.length);
    }
    expect((await fleet.call({ path: '/q/crash' })).status).toBe(QUARANTINED);
  });

  it('of many callers are served while another request crashes replicas', async () => {
    const fleet = await CrashingFleet.start('/q/crash', options);
    const popular = sendFor(fleet, 500, () => '/q/popular');
    const crash = fleet.repeat(2, 100);
    const statuses = await popular;
    await crash;
    expect(countOf(statuses, 200)).toBe(statuses.length);
  });

  it('of many callers are never quarantined while replicas terminate repeatedly', async () => {
    const fleet = await CrashingFleet.start('/q/crash', options);
    let candidates = 0;
    for (let round = 0; round < 6; round += 1) {
      const statuses = sendFor(fleet, 300, () => '/q/popular');
      fleet.terminateReplicas(() => {
        candidates += 1;
        return candidates % 3 === 0;
      });
      expect(countOf(await statuses, QUARANTINED)).toBe(0);
      await fleet.harness.simulation.runFor(RECOVERY_MS);
      expect((await fleet.call({ path: '/q/popular' })).status).toBe(200);
    }
  });

  it('are served by the other zone when a zone fails with them in flight', async () => {
    const fleet = await CrashingFleet.start('/q/crash', {
      ...options,
      replicasPerService: 6,
      zones: TWO_ZONES,
    });
    const paths = Array.from({ length: 12 }, (__, index) => `/q/lost-${index}`);
    for (let round = 0; round < 3; round += 1) {
      const sent = paths.map((path) => fleet.send({ path }));
      await fleet.harness.simulation.runFor(10);
      fleet.terminateReplicas((replica) => replica.options.zone === 'nayoro');
      const answers = await fleet.harness.simulation.settle(Promise.all(sent));
      expect(answers.map(({ status }) => status)).toEqual(paths.map(() => 200));
      await fleet.harness.simulation.runFor(RECOVERY_MS);
    }
  });

  it('are never quarantined when all replicas terminate with them in flight, three times', async () => {
    const fleet = await CrashingFleet.start('/q/crash', options);
    for (let round = 0; round < 3; round += 1) {
      const sent = fleet.send({ path: '/q/same' });
      await fleet.harness.simulation.runFor(15);
      fleet.terminateReplicas(() => true);
      await fleet.harness.simulation.settle(sent);
      await fleet.harness.simulation.runFor(RECOVERY_MS);
      expect((await fleet.call({ path: '/q/same' })).status).toBe(200);
    }
  });

  it('are served while replicas terminate one after the other for a release', async () => {
    const fleet = await CrashingFleet.start('/q/crash', options);
    const released = new Set([...fleet.replicas.keys()].map(({ options: { address } }) => address));
    for (const address of [...released].slice(0, 8)) {
      const sent = Array.from({ length: 6 }, () => fleet.send({ path: '/q/same' }));
      await fleet.harness.simulation.runFor(10);
      fleet.terminateReplicas((replica) => replica.options.address === address);
      const answers = await fleet.harness.simulation.settle(Promise.all(sent));
      expect(answers.map(({ status }) => status)).toEqual(sent.map(() => 200));
      await fleet.harness.simulation.runFor(RECOVERY_MS);
    }
  });

  it('are not suspected when draining replicas terminate with them in flight', async () => {
    const fleet = await CrashingFleet.start('/q/crash', { ...options, workMs: 3_000 });
    for (let round = 0; round < 4; round += 1) {
      const sent = fleet.send({ path: '/q/same', deadlineMs: 2_000 });
      await fleet.harness.simulation.runFor(10);
      const busy = fleet.running().filter(({ runs }) => runs.length > 0);
      await fleet.harness.simulation.settle(Promise.all(busy.map((replica) => replica.drain())));
      fleet.terminateReplicas((replica) => busy.includes(replica));
      expect((await fleet.harness.simulation.settle(sent)).status).not.toBe(QUARANTINED);
      await fleet.harness.simulation.runFor(RECOVERY_MS);
    }
    const { group } = fleet.harness;
    const { body } = await group.call(group.machineAt(0), 'GET', '/v1/quarantine');
    expect(Buffer.from(body).toString('utf8')).toBe('{"requests":[]}');
  });

  it('do not wait long behind a request that hangs on its replica after others terminated', async () => {
    const fleet = await CrashingFleet.start('/q/crash', options);
    const [hanging] = fleet.running();
    const sent = fleet.send({ path: '/q/same' });
    await fleet.harness.simulation.runFor(10);
    fleet.terminateReplicas((replica) => replica !== hanging && replica.runs.length > 0);
    if (hanging !== undefined) hanging.workMs = 10_000;
    await fleet.harness.simulation.settle(sent);
    const statuses = await statusesOf(fleet, Array<string>(8).fill('/q/same'));
    expect(countOf(statuses, 200)).toBe(statuses.length);
  });

  it('are served again at once after a time in which all their connections were lost', async () => {
    const fleet = await CrashingFleet.start('/q/crash', options);
    for (const replica of fleet.replicas.keys()) replica.behaviour = ReplicaBehaviour.LoseAnswer;
    for (let call = 0; call < 10; call += 1) {
      expect((await fleet.call({ path: '/q/same' })).status).not.toBe(QUARANTINED);
    }
    for (const replica of fleet.replicas.keys()) replica.behaviour = ReplicaBehaviour.Serve;
    expect((await fleet.call({ path: '/q/same' })).status).toBe(200);
  });
});
