/*
 * Whoever runs beside a request that crashes a replica loses the replica too, and so does every
 * request that a replica has when its zone, its release or its connections end. None of them
 * may be refused for it.
 */
import { describe, expect, it } from 'vitest';
import { ReplicaBehaviour } from '../../lab/exchange/exchange-replica.js';
import { CrashingFleet, type CrashingFleetOptions } from './crashing-fleet.js';

const SHARDS = ['shard-a', 'shard-b', 'shard-c', 'shard-d', 'shard-e', 'shard-f'];
const FAN_OUT = { pathPrefix: '/q/', shards: SHARDS, topRecords: 3, requiredCoverage: 0.6 };
/** Second sends that never run out, as requests are tried on other replicas here. */
const PLENTY = { ratio: 1, slack: 10_000 };
const FAN_OUT_FLEET: CrashingFleetOptions = {
  services: SHARDS,
  replicasPerService: 3,
  route: FAN_OUT,
  gateways: { others: 3, secondSends: PLENTY },
  workMs: 30,
};
const LOOK_UP_FLEET: CrashingFleetOptions = {
  services: ['ledger'],
  replicasPerService: 6,
  route: { pathPrefix: '/q/', service: 'ledger' },
  gateways: { others: 3, secondSends: PLENTY },
  workMs: 30,
};
const TWO_ZONES = ['nayoro', 'wakkanai'];
/** Until replicas that ended are back and known. Milliseconds. */
const BACK_MS = 6_000;
const QUARANTINED = 429;

const KINDS: [string, CrashingFleetOptions][] = [
  ['to all shards', FAN_OUT_FLEET],
  ['to one service', LOOK_UP_FLEET],
];

async function statusesOf(fleet: CrashingFleet, paths: readonly string[]): Promise<number[]> {
  const sent = paths.map((path) => fleet.send({ path }));
  return (await fleet.harness.simulation.settle(Promise.all(sent))).map(({ status }) => status);
}

/** Sends a request every few milliseconds, each asking what `pathOf` gives. */
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

describe.each(KINDS)('requests %s', (_, options) => {
  it('that run beside a crashing one are never refused for it', async () => {
    const fleet = await CrashingFleet.start('/q/crash', options);
    const paths = Array.from({ length: 12 }, (__, index) => `/q/beside-${index}`);
    for (let round = 0; round < 4; round += 1) {
      const sent = paths.map((path) => fleet.send({ path }));
      const crash = fleet.send({ path: '/q/crash' });
      await fleet.harness.simulation.settle(Promise.all([crash, ...sent]));
      expect(countOf(await statusesOf(fleet, paths), QUARANTINED)).toBe(0);
      await fleet.harness.simulation.runFor(BACK_MS);
      expect(countOf(await statusesOf(fleet, paths), 200)).toBe(paths.length);
    }
    expect((await fleet.call({ path: '/q/crash' })).status).toBe(QUARANTINED);
  });

  it('that many callers send are served while another one crashes replicas', async () => {
    const fleet = await CrashingFleet.start('/q/crash', options);
    const popular = sendFor(fleet, 500, () => '/q/popular');
    const crash = fleet.repeat(2, 100);
    const statuses = await popular;
    await crash;
    expect(countOf(statuses, 200)).toBe(statuses.length);
  });

  it('that many callers send are never refused while replicas end again and again', async () => {
    const fleet = await CrashingFleet.start('/q/crash', options);
    let ended = 0;
    for (let round = 0; round < 6; round += 1) {
      const statuses = sendFor(fleet, 300, () => '/q/popular');
      fleet.terminateReplicas(() => {
        ended += 1;
        return ended % 3 === 0;
      });
      expect(countOf(await statuses, QUARANTINED)).toBe(0);
      await fleet.harness.simulation.runFor(BACK_MS);
      expect((await fleet.call({ path: '/q/popular' })).status).toBe(200);
    }
  });

  it('are served by the other zone when a zone is lost under them', async () => {
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
      await fleet.harness.simulation.runFor(BACK_MS);
    }
  });

  it('are never refused when all replicas are lost under them, three times', async () => {
    const fleet = await CrashingFleet.start('/q/crash', options);
    for (let round = 0; round < 3; round += 1) {
      const sent = fleet.send({ path: '/q/same' });
      await fleet.harness.simulation.runFor(15);
      fleet.terminateReplicas(() => true);
      await fleet.harness.simulation.settle(sent);
      await fleet.harness.simulation.runFor(BACK_MS);
      expect((await fleet.call({ path: '/q/same' })).status).toBe(200);
    }
  });

  it('are served while each replica is ended for a release, one after the other', async () => {
    const fleet = await CrashingFleet.start('/q/crash', options);
    const released = new Set([...fleet.replicas.keys()].map(({ options: { address } }) => address));
    for (const address of [...released].slice(0, 8)) {
      const sent = Array.from({ length: 6 }, () => fleet.send({ path: '/q/same' }));
      await fleet.harness.simulation.runFor(10);
      fleet.terminateReplicas((replica) => replica.options.address === address);
      const answers = await fleet.harness.simulation.settle(Promise.all(sent));
      expect(answers.map(({ status }) => status)).toEqual(sent.map(() => 200));
      await fleet.harness.simulation.runFor(BACK_MS);
    }
  });

  it('are not suspected when replicas that leave end with them in flight', async () => {
    const fleet = await CrashingFleet.start('/q/crash', { ...options, workMs: 3_000 });
    for (let round = 0; round < 4; round += 1) {
      const sent = fleet.send({ path: '/q/same', deadlineMs: 2_000 });
      await fleet.harness.simulation.runFor(10);
      const busy = fleet.running().filter(({ runs }) => runs.length > 0);
      await fleet.harness.simulation.settle(Promise.all(busy.map((replica) => replica.drain())));
      fleet.terminateReplicas((replica) => busy.includes(replica));
      expect((await fleet.harness.simulation.settle(sent)).status).not.toBe(QUARANTINED);
      await fleet.harness.simulation.runFor(BACK_MS);
    }
    const { group } = fleet.harness;
    const { body } = await group.call(group.machineAt(0), 'GET', '/v1/quarantine');
    expect(Buffer.from(body).toString('utf8')).toBe('{"requests":[]}');
  });

  it('do not wait for long behind one that hangs after a loss', async () => {
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

  it('are served again at once after all their connections were lost for a while', async () => {
    const fleet = await CrashingFleet.start('/q/crash', options);
    for (const replica of fleet.replicas.keys()) replica.behaviour = ReplicaBehaviour.LoseAnswer;
    for (let call = 0; call < 10; call += 1) {
      expect((await fleet.call({ path: '/q/same' })).status).not.toBe(QUARANTINED);
    }
    for (const replica of fleet.replicas.keys()) replica.behaviour = ReplicaBehaviour.Serve;
    expect((await fleet.call({ path: '/q/same' })).status).toBe(200);
  });
});
