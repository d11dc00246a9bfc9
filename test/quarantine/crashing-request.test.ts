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
import { CrashingFleet, TOLERATED_RETRIES } from './crashing-fleet.js';

const SHARDS = ['shard-a', 'shard-b', 'shard-c', 'shard-d', 'shard-e', 'shard-f'];
const FAN_OUT = { pathPrefix: '/q/', shards: SHARDS, topRecords: 3, requiredCoverage: 0.6 };
const LOOK_UP = { pathPrefix: '/one/', service: 'ledger' };
/** Beyond the time in which what one gateway has seen is known at all. Milliseconds. */
const LONG_PAUSE_MS = 5_000;

describe('a request that crashes every replica that runs it', () => {
  it('to all shards reaches replicas a few times at most over all gateways', async () => {
    const fleet = await CrashingFleet.start('/q/crash', {
      services: SHARDS,
      replicasPerService: 2,
      route: FAN_OUT,
      gateways: { others: 3 },
    });
    await fleet.repeat(12, LONG_PAUSE_MS);
    expect(fleet.lateSendings().size).toBeLessThanOrEqual(TOLERATED_RETRIES);
  });

  it('to one service reaches replicas a few times at most over all gateways', async () => {
    const fleet = await CrashingFleet.start('/one/crash', {
      services: ['ledger'],
      replicasPerService: 6,
      route: LOOK_UP,
      gateways: { others: 3 },
    });
    await fleet.repeat(12, LONG_PAUSE_MS);
    expect(fleet.lateSendings().size).toBeLessThanOrEqual(TOLERATED_RETRIES);
  });

  it('is known to a gateway that has just started', async () => {
    const fleet = await CrashingFleet.start('/q/crash', {
      services: SHARDS,
      replicasPerService: 2,
      route: FAN_OUT,
    });
    await fleet.repeat(4, LONG_PAUSE_MS);
    for (let start = 0; start < 5; start += 1) {
      fleet.harness.machine.crash();
      await fleet.harness.restartGateway();
      await fleet.harness.simulation.runFor(LONG_PAUSE_MS);
      await fleet.repeat(1, LONG_PAUSE_MS);
    }
    expect(fleet.lateSendings().size).toBeLessThanOrEqual(TOLERATED_RETRIES);
  });
});
