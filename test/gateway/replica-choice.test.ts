import { expect, it } from 'vitest';
import { ALL_MECHANISMS } from '../../src/configuration/gateway-mechanisms.js';
import { RegisteredState } from '../../src/directory/replica-entry.js';
import { ColdSendLimiter } from '../../src/gateway/cold-send-limiter.js';
import { ReplicaChoice, type ChoiceQuery } from '../../src/gateway/replica-choice.js';
import { ReplicaTarget } from '../../src/gateway/replica-target.js';
import { ManualClock } from '../support/manual-clock.js';

const NEAR_ZONE = 'nayoro';
const FAR_ZONE = 'wakkanai';
const NO_CLIENT = {
  request: () => Promise.reject(new Error('not sent')),
  close: () => Promise.resolve(),
  destroy: () => undefined,
};

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
  return new ReplicaTarget(entry, NO_CLIENT, entry.address, -Infinity, new ColdSendLimiter(0));
}

/** A gateway in {@link NEAR_ZONE} with one replica there and one in {@link FAR_ZONE}. */
class TwoZones {
  readonly clock = new ManualClock();
  mechanisms = ALL_MECHANISMS;
  readonly near = targetIn(NEAR_ZONE);
  readonly far = targetIn(FAR_ZONE);

  choose(otherZoneCost: number, query: Partial<ChoiceQuery> = {}): ReplicaTarget | undefined {
    const random = { nextFloat: () => 0.5, nextInteger: () => 0, nextIdentifier: () => '' };
    const placement = { zone: NEAR_ZONE, otherZoneCost };
    const choice = new ReplicaChoice(this.clock, random, placement, this.mechanisms);
    return choice.choose({
      targets: [this.far, this.near],
      excluded: new Set(),
      medianLatency: 20,
      timeLeft: 100,
      valueFraction: 1,
      maximumInFlight: 8,
      coldSendInterval: Infinity,
      ...query,
    });
  }

  /** Reports this many requests at the near replica. */
  occupyNear(requests: number): void {
    this.reportNear(requests - 2, 1);
  }

  /** Reports the queue and the work factor of the near replica. */
  reportNear(waiting: number, workFactor: number): void {
    this.near.load = { running: 2, waiting, slots: 2, workFactor, at: this.clock.now() };
  }
}

it('chooses the near replica while it answers well before the target', () => {
  const zones = new TwoZones();
  zones.occupyNear(3);
  expect(zones.choose(0.2)).toBe(zones.near);
});

it('chooses the other zone once the near replica is expected to answer close to the target', () => {
  const zones = new TwoZones();
  zones.occupyNear(8);
  expect(zones.choose(0.2)).toBe(zones.far);
});

it('chooses by latency alone if cross-zone traffic costs nothing', () => {
  const zones = new TwoZones();
  zones.occupyNear(3);
  expect(zones.choose(0)).toBe(zones.far);
});

it('tolerates a slower near replica if less of the value depends on the answer', () => {
  const zones = new TwoZones();
  zones.occupyNear(4);
  expect(zones.choose(0.2, { valueFraction: 1 })).toBe(zones.far);
  expect(zones.choose(0.2, { valueFraction: 0.1 })).toBe(zones.near);
});

it('chooses the other zone if the near replica is excluded', () => {
  const zones = new TwoZones();
  expect(zones.choose(1, { excluded: new Set([zones.near]) })).toBe(zones.far);
});

it('ignores load reports if they are switched off', () => {
  const zones = new TwoZones();
  zones.mechanisms = { ...ALL_MECHANISMS, loadReports: false };
  zones.occupyNear(8);
  expect(zones.choose(0.2)).toBe(zones.near);
});

it('considers past latencies unless slowness is switched off', () => {
  const zones = new TwoZones();
  for (let sample = 0; sample < 20; sample += 1) zones.near.recordLatency(6, 0);
  expect(zones.choose(0.2)).toBe(zones.far);
  zones.mechanisms = { ...ALL_MECHANISMS, slowness: false };
  expect(zones.choose(0.2)).toBe(zones.near);
});

it('avoids a replica with a stalled attempt unless stalls are switched off', () => {
  const zones = new TwoZones();
  zones.near.begin(0);
  zones.clock.advance(100);
  expect(zones.choose(0.2)).toBe(zones.far);
  zones.mechanisms = { ...ALL_MECHANISMS, stalls: false };
  expect(zones.choose(0.2)).toBe(zones.near);
});

it('avoids a replica that is backing off unless resting is switched off', () => {
  const zones = new TwoZones();
  zones.near.recordFailure(0);
  expect(zones.choose(1)).toBe(zones.far);
  zones.mechanisms = { ...ALL_MECHANISMS, resting: false };
  expect(zones.choose(1)).toBe(zones.near);
});

it('avoids a replica while it reports a high work factor', () => {
  const zones = new TwoZones();
  zones.reportNear(0, 4);
  expect(zones.choose(0.2)).toBe(zones.far);
  zones.clock.advance(2_000);
  expect(zones.choose(0.2)).toBe(zones.near);
});

it('ignores the work factor if work reports are switched off', () => {
  const zones = new TwoZones();
  zones.mechanisms = { ...ALL_MECHANISMS, workReports: false };
  zones.reportNear(0, 4);
  expect(zones.choose(0.2)).toBe(zones.near);
});

it('avoids a late near replica of one of many shards too, whatever the cross-zone cost', () => {
  const zones = new TwoZones();
  zones.occupyNear(12);
  expect(zones.choose(0.2, { valueFraction: 0.02 })).toBe(zones.far);
});
