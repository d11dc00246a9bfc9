/*
 * One request crashed each replica that began to run it. As a request to all shards it went to
 * a replica of each shard at once, and its retries carried it to the second one of each, so that
 * a single sending of a caller ended all 40 replicas of a service. Gateways took each loss for a
 * fault of the replica alone and kept nothing of the request, so every repeat under another id
 * did the same again as soon as the replicas were back. After 155 replicas had ended under it,
 * it was still sent on:
 *
 *   "message":"request failed","reason":"too many shards failed","shards":20,"missing":20,"sends":88
 *   "sentAtMs":0,"tookMs":8,"result":"broken: connection_lost"
 *   "sentAtMs":9,"tookMs":1,"result":"notRun: unreachable"
 */
import { describe, expect, it } from 'vitest';
import { SETTLE_MS } from '../control/automatic-group.js';
import { textOf } from '../gateway/gateway-harness.js';
import { CrashingFleet, TOLERATED_LATE_REQUESTS } from './crashing-fleet.js';

const SHARDS = ['shard-a', 'shard-b', 'shard-c', 'shard-d', 'shard-e', 'shard-f'];
const FAN_OUT = { pathPrefix: '/q/', shards: SHARDS, topRecords: 3, requiredCoverage: 0.6 };
const LOOK_UP = { pathPrefix: '/one/', service: 'ledger' };
const FAN_OUT_FLEET = {
  services: SHARDS,
  replicasPerService: 2,
  route: FAN_OUT,
  gateways: { others: 3 },
};
const LOOK_UP_FLEET = {
  services: ['ledger'],
  replicasPerService: 6,
  route: LOOK_UP,
  gateways: { others: 3 },
};
/** Replicas that end under a suspected request before it is refused. */
const TRIALS = 2;
/** Beyond the time in which what one gateway has seen is known at all. Milliseconds. */
const LONG_PAUSE_MS = 5_000;

describe('a request that crashes every replica that runs it', () => {
  it('to all shards reaches replicas a few times at most over all gateways', async () => {
    const fleet = await CrashingFleet.start('/q/crash', FAN_OUT_FLEET);
    await fleet.repeat(12, LONG_PAUSE_MS);
    expect(fleet.lateRequests().size).toBeLessThanOrEqual(TOLERATED_LATE_REQUESTS);
  });

  it('to one service reaches replicas a few times at most over all gateways', async () => {
    const fleet = await CrashingFleet.start('/one/crash', LOOK_UP_FLEET);
    await fleet.repeat(12, LONG_PAUSE_MS);
    expect(fleet.lateRequests().size).toBeLessThanOrEqual(TOLERATED_LATE_REQUESTS);
  });

  it('reaches replicas a few times at most also where they come back under their ids', async () => {
    const fleet = await CrashingFleet.start('/q/crash', { ...FAN_OUT_FLEET, keepsIds: true });
    await fleet.repeat(12, LONG_PAUSE_MS);
    expect(fleet.lateRequests().size).toBeLessThanOrEqual(TOLERATED_LATE_REQUESTS);
  });

  it('is known to a gateway that has just started', async () => {
    const fleet = await CrashingFleet.start('/q/crash', { ...FAN_OUT_FLEET, gateways: {} });
    await fleet.repeat(4, LONG_PAUSE_MS);
    for (let start = 0; start < 5; start += 1) {
      fleet.harness.machine.crash();
      await fleet.harness.restartGateway();
      await fleet.harness.simulation.runFor(LONG_PAUSE_MS);
      await fleet.repeat(1, LONG_PAUSE_MS);
    }
    expect(fleet.lateRequests().size).toBeLessThanOrEqual(TOLERATED_LATE_REQUESTS);
  });

  it('is refused at once as not run, and reaches nobody after that', async () => {
    const fleet = await CrashingFleet.start('/q/crash', FAN_OUT_FLEET);
    await fleet.repeat(2, LONG_PAUSE_MS);
    const crashes = fleet.crashes.length;
    const begunAt = fleet.harness.simulation.now;
    const answer = await fleet.call({ path: '/q/crash' });
    expect(answer.status).toBe(429);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(1);
    expect(textOf(answer)).toContain('quarantined');
    expect(fleet.harness.simulation.now - begunAt).toBeLessThan(10);
    await fleet.repeat(8, LONG_PAUSE_MS);
    expect(fleet.crashes).toHaveLength(crashes);
  });

  it('leaves most shards a replica even at its first sending', async () => {
    const fleet = await CrashingFleet.start('/q/crash', FAN_OUT_FLEET);
    const [first] = await fleet.repeat(1, 0);
    expect(first).toBe(502);
    expect(fleet.crashes.length).toBeLessThanOrEqual(SHARDS.length + TRIALS);
  });

  it('is known to all gateways when leaves ask the shards', async () => {
    const fleet = await CrashingFleet.start('/q/crash', {
      ...FAN_OUT_FLEET,
      gateways: { others: 4, aggregation: { divideAbove: 3, shardsPerGroup: 2 } },
    });
    const statuses = await fleet.repeat(12, LONG_PAUSE_MS);
    expect(fleet.lateRequests().size).toBeLessThanOrEqual(TOLERATED_LATE_REQUESTS);
    expect(statuses.slice(3).every((status) => status === 429)).toBe(true);
  });

  it('is found out although it may be sent only once a sending', async () => {
    const fleet = await CrashingFleet.start('/one/crash', {
      ...LOOK_UP_FLEET,
      route: { ...LOOK_UP, execution: 'atMostOnce' },
    });
    await fleet.repeat(12, LONG_PAUSE_MS);
    expect(fleet.lateRequests().size).toBeLessThanOrEqual(TOLERATED_LATE_REQUESTS);
    for (const { requestId } of fleet.crashes) {
      expect(fleet.crashes.filter((crash) => crash.requestId === requestId)).toHaveLength(1);
    }
  });

  it('is found out by the loss of a connection after its answer was given up', async () => {
    const fleet = await CrashingFleet.start('/one/crash', {
      ...LOOK_UP_FLEET,
      workMs: 150,
      dropsAbandoned: false,
    });
    for (let call = 0; call < 12; call += 1) {
      const abort = new AbortController();
      const sent = fleet.send({ path: '/one/crash', signal: abort.signal });
      await fleet.harness.simulation.runFor(50);
      abort.abort();
      await fleet.harness.simulation.settle(sent.catch(() => undefined));
      await fleet.harness.simulation.runFor(LONG_PAUSE_MS);
    }
    expect(fleet.lateRequests().size).toBeLessThanOrEqual(TOLERATED_LATE_REQUESTS);
  });

  it('is found out although each attempt was closed before its replica ended', async () => {
    const fleet = await CrashingFleet.start('/one/crash', {
      ...LOOK_UP_FLEET,
      replicasPerService: 2,
      workMs: 300,
      dropsAbandoned: false,
    });
    for (let call = 0; call < 16; call += 1) {
      const abort = new AbortController();
      const sent = fleet.send({ path: '/one/crash', signal: abort.signal });
      await fleet.harness.simulation.runFor(50);
      abort.abort();
      await fleet.harness.simulation.settle(sent.catch(() => undefined));
      await fleet.harness.simulation.runFor(400);
      // What finds the replica gone is another request.
      for (let gateway = 0; gateway < fleet.gateways.length; gateway += 1) {
        await fleet.call({ path: `/one/other-${call}-${gateway}` });
      }
      await fleet.harness.simulation.runFor(LONG_PAUSE_MS);
    }
    expect((await fleet.call({ path: '/one/crash' })).status).toBe(429);
  });

  it('is found out by a gateway that reaches no controller', async () => {
    const fleet = await CrashingFleet.start('/q/crash', { ...FAN_OUT_FLEET, gateways: {} });
    for (const machine of fleet.harness.group.machines) machine.freeze(60_000);
    const statuses = await fleet.repeat(3, 1_000);
    expect(statuses).toEqual([502, 429, 429]);
  });

  it.each([
    ['all shards', FAN_OUT_FLEET, '/q/crash'],
    ['one service', LOOK_UP_FLEET, '/one/crash'],
    [
      'one service once',
      { ...LOOK_UP_FLEET, route: { ...LOOK_UP, execution: 'atMostOnce' as const } },
      '/one/crash',
    ],
  ])(
    'to %s is tried by one gateway at a time when it comes to all at once',
    async (_, fleetOptions, path) => {
      const fleet = await CrashingFleet.start(path, { ...fleetOptions, gateways: { others: 9 } });
      for (let round = 0; round < 6; round += 1) {
        const sent = fleet.gateways.map(() => fleet.send({ path }));
        await fleet.harness.simulation.settle(Promise.all(sent));
        await fleet.harness.simulation.runFor(LONG_PAUSE_MS);
      }
      expect(fleet.lateRequests().size).toBeLessThanOrEqual(TOLERATED_LATE_REQUESTS);
      expect((await fleet.call({ path })).status).toBe(429);
    },
  );

  it('stays refused after a loss of all power', async () => {
    const fleet = await CrashingFleet.start('/q/crash', FAN_OUT_FLEET);
    const { harness } = fleet;
    await fleet.repeat(2, LONG_PAUSE_MS);
    const crashes = fleet.crashes.length;
    harness.losePower();
    await harness.restartControllers();
    await harness.restartGateway();
    await harness.simulation.runFor(SETTLE_MS);
    expect((await harness.call({ path: '/q/crash' })).status).toBe(429);
    expect(fleet.crashes).toHaveLength(crashes);
  });
});
