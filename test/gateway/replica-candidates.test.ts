import { expect, it } from 'vitest';
import { ALL_MECHANISMS } from '../../src/configuration/gateway-mechanisms.js';
import { RegisteredState } from '../../src/directory/replica-entry.js';
import { AnswerMargin } from '../../src/gateway/answer-margin.js';
import { ColdSendLimiter } from '../../src/gateway/cold-send-limiter.js';
import { ReplicaCandidates } from '../../src/gateway/replica-candidates.js';
import { ReplicaChoice } from '../../src/gateway/replica-choice.js';
import { ReplicaTarget } from '../../src/gateway/replica-target.js';
import { ManualClock } from '../support/manual-clock.js';

const NEAR_ZONE = 'nayoro';
const FAR_ZONE = 'wakkanai';
const TARGET_MS = 60;
const MEDIAN_MS = 6;

function targetIn(zone: string): ReplicaTarget {
  const entry = {
    replicaId: `replica-${zone}`,
    service: 'shard',
    address: '10.0.0.1:9000',
    zone,
    capacity: 2,
    state: RegisteredState.Ready,
    sequence: 1,
    warmupMs: 0,
  };
  const client = undefined as never;
  return new ReplicaTarget(entry, client, entry.address, -Infinity, new ColdSendLimiter(0));
}

/** Chooses for a request of `TARGET_MS`, `elapsedMs` old; the near replica is `slowness` times as slow. */
function chooseZone(elapsedMs: number, slowness: number, isFanOut = true): string | undefined {
  const clock = new ManualClock();
  clock.advance(1_000);
  const targets = [targetIn(NEAR_ZONE), targetIn(FAR_ZONE)];
  for (let sample = 0; sample < 20; sample += 1) targets[0]?.recordLatency(slowness, clock.now());
  const random = { nextFloat: () => 0.5, nextInteger: () => 0, nextIdentifier: () => '' };
  const placement = { zone: NEAR_ZONE, otherZoneCost: 0.03 };
  const context = {
    environment: { clock },
    choice: new ReplicaChoice(clock, random, placement, ALL_MECHANISMS),
    answerMargin: new AnswerMargin(false),
    targets: { of: () => targets },
    regions: { permitted: (_route: unknown, all: unknown) => all },
    shares: { maximumInFlight: () => 8, coldSendInterval: () => Infinity },
  };
  const route = { targetLatencyMs: TARGET_MS, ...(isFanOut ? { shards: ['shard'] } : {}) };
  const request = { route, receivedAt: clock.now() - elapsedMs };
  const options = { service: 'shard', latency: { median: MEDIAN_MS }, valueFraction: 0.02 };
  const candidates = new ReplicaCandidates(context as never, request as never, options as never);
  return candidates.choose()?.entry.zone;
}

// Guards against shards that wait for a near replica known to be slow, since it would answer within
// the target had the request arrived only now.
it('chooses the other zone when a slow near replica would use up what is left until the cut-off', () => {
  expect(chooseZone(0, 1)).toBe(NEAR_ZONE);
  expect(chooseZone(0, 3)).toBe(NEAR_ZONE);
  expect(chooseZone(8, 4.5)).toBe(FAR_ZONE);
  expect(chooseZone(30, 3)).toBe(FAR_ZONE);
});

it('counts until the target where the answer of one replica is passed on', () => {
  expect(chooseZone(8, 4.5, false)).toBe(NEAR_ZONE);
  expect(chooseZone(40, 4.5, false)).toBe(FAR_ZONE);
});

it('chooses the faster replica also when nothing is left', () => {
  expect(chooseZone(500, 4.5)).toBe(FAR_ZONE);
});
