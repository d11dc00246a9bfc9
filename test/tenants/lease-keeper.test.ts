import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import { NodeClock } from '../../src/node/node-clock.js';
import {
  ConfirmationResult,
  LeaseKeeper,
  leaseDurationMs,
  type ConfirmationRequest,
} from '../../src/tenants/lease-keeper.js';
import { ManualClock } from '../support/manual-clock.js';
import { BOUND_MS, runLeaseModel, type ModelFaults, type ModelResult } from './lease-model.js';

const SEEDS = Array.from({ length: 150 }, (_, index) => index + 1);
const LEASE_MS = leaseDurationMs(BOUND_MS);
/** Of the bound, without a path to the controllers, in which requests are still to be served. */
const SERVED_FRACTION = 0.6;

interface KeeperWithClock {
  readonly clock: ManualClock;
  readonly keeper: LeaseKeeper;
}

function createKeeper(version?: number, needsKeys = true): KeeperWithClock {
  const clock = new ManualClock();
  const keeper = new LeaseKeeper({ clock, random: seededRandom(7, 'keeper'), boundMs: BOUND_MS });
  if (version !== undefined) keeper.setRouteTable(version, needsKeys);
  return { clock, keeper };
}

/** Asks, and has the answer a while later. */
function renew(
  { clock, keeper }: KeeperWithClock,
  version: number,
  afterMs: number,
): ConfirmationResult {
  const { number } = keeper.beginRequest();
  clock.advance(afterMs);
  return keeper.handleConfirmation(number, version);
}

function runAll(faults: ModelFaults = {}): ModelResult {
  const total = { accepted: 0, refused: 0, violations: 0 };
  for (const seed of SEEDS) {
    const result = runLeaseModel(seed, faults);
    total.accepted += result.accepted;
    total.refused += result.refused;
    total.violations += result.violations;
  }
  return total;
}

describe('no key is accepted later than the bound after the document that takes it away', () => {
  it('whatever is late, lost, cut off, frozen or restarted', () => {
    const { accepted, refused, violations } = runAll();
    expect(violations).toBe(0);
    expect(accepted).toBeGreaterThan(refused);
    expect(refused).toBeGreaterThan(0);
  });

  it('which fails where the lease counts from the answer', () => {
    expect(runAll({ countFromResponse: true }).violations).toBeGreaterThan(0);
  });

  it('which fails where a controller answers by what it believes', () => {
    expect(runAll({ skipBarrier: true }).violations).toBeGreaterThan(0);
  });

  it('which fails where the version is not compared', () => {
    expect(runAll({ ignoreVersion: true }).violations).toBeGreaterThan(0);
  });
});

describe('a lease', () => {
  it('is not held before the first answer', () => {
    const { keeper } = createKeeper(3);
    expect(keeper.isHeld).toBe(false);
    expect(keeper.retryAfterMs).toBeGreaterThan(0);
  });

  it('counts from the ask', () => {
    const parts = createKeeper(3);
    expect(renew(parts, 3, 400)).toBe(ConfirmationResult.Renewed);
    parts.clock.advance(LEASE_MS - 401);
    expect(parts.keeper.isHeld).toBe(true);
    parts.clock.advance(1);
    expect(parts.keeper.isHeld).toBe(false);
  });

  it('ends while the machine is suspended, for which the steady clock stands still', () => {
    const time = { steady: 1_000, suspended: 0 };
    const readings = {
      steady: () => time.steady,
      wall: () => time.steady + time.suspended,
      boot: () => time.steady + time.suspended,
    };
    const random = seededRandom(7, 'keeper');
    const clock = new NodeClock(readings);
    const keeper = new LeaseKeeper({ clock, random, boundMs: BOUND_MS });
    keeper.setRouteTable(3, true);
    keeper.handleConfirmation(keeper.beginRequest().number, 3);
    expect(keeper.isHeld).toBe(true);
    time.suspended = LEASE_MS;
    expect(keeper.isHeld).toBe(false);
  });

  it('is shorter than the bound by what clocks may be wrong', () => {
    expect(LEASE_MS).toBeLessThan(BOUND_MS * 0.99);
  });

  it('is granted once the confirmed version is in force, counted from the ask', () => {
    const parts = createKeeper(3);
    expect(renew(parts, 4, 100)).toBe(ConfirmationResult.DocumentMissing);
    expect(parts.keeper.isHeld).toBe(false);
    parts.clock.advance(100);
    parts.keeper.setRouteTable(4, true);
    expect(parts.keeper.isHeld).toBe(true);
    expect(parts.keeper.expiresInMs).toBe(LEASE_MS - 200);
  });

  it('is not granted by a version that comes into force too late', () => {
    const parts = createKeeper(3);
    renew(parts, 4, 100);
    parts.clock.advance(LEASE_MS);
    parts.keeper.setRouteTable(4, true);
    expect(parts.keeper.isHeld).toBe(false);
  });

  it('is granted by a version older than the one in force', () => {
    expect(renew(createKeeper(3), 2, 100)).toBe(ConfirmationResult.Renewed);
  });

  it('is not shortened by the answer to an earlier ask', () => {
    const { clock, keeper } = createKeeper(3);
    const first = keeper.beginRequest();
    clock.advance(500);
    const second = keeper.beginRequest();
    expect(keeper.handleConfirmation(second.number, 3)).toBe(ConfirmationResult.Renewed);
    expect(keeper.handleConfirmation(first.number, 3)).toBe(ConfirmationResult.Late);
    expect(keeper.expiresInMs).toBe(LEASE_MS);
  });

  it('is not granted twice by one answer', () => {
    const { clock, keeper } = createKeeper(3);
    const { number } = keeper.beginRequest();
    keeper.handleConfirmation(number, 3);
    clock.advance(LEASE_MS);
    expect(keeper.handleConfirmation(number, 3)).toBe(ConfirmationResult.Late);
    expect(keeper.isHeld).toBe(false);
  });

  it('is still held for most of the bound after the last path is lost, at the worst moment', () => {
    const parts = createKeeper(3);
    renew(parts, 3, 50);
    parts.clock.advance(parts.keeper.requestDueInMs + BOUND_MS * SERVED_FRACTION);
    expect(parts.keeper.isHeld).toBe(true);
  });
});

describe('asks', () => {
  it('are due at once at the start, before the first table too', () => {
    expect(createKeeper().keeper.requestDueInMs).toBe(0);
  });

  it('are never due where no route needs a key', () => {
    expect(createKeeper(3, false).keeper.requestDueInMs).toBe(Infinity);
  });

  it('are due at once when routes begin to need keys', () => {
    const parts = createKeeper(3);
    renew(parts, 3, 5);
    parts.keeper.setRouteTable(4, false);
    parts.keeper.setRouteTable(5, true);
    expect(parts.keeper.requestDueInMs).toBe(0);
  });

  it('are spread over a part of the bound', () => {
    const parts = createKeeper(3);
    const pauses = Array.from({ length: 200 }, () => {
      renew(parts, 3, 0);
      return parts.keeper.requestDueInMs / BOUND_MS;
    });
    expect(Math.min(...pauses)).toBeGreaterThanOrEqual(0.15);
    expect(Math.max(...pauses)).toBeLessThanOrEqual(0.2);
    expect(Math.max(...pauses) - Math.min(...pauses)).toBeGreaterThan(0.04);
  });

  it('go to another controller while they are not answered', () => {
    const parts = createKeeper(3);
    const requests: ConfirmationRequest[] = [];
    for (let count = 0; count < 3; count += 1) {
      requests.push(parts.keeper.beginRequest());
      parts.clock.advance(parts.keeper.requestDueInMs);
    }
    expect(requests.map(({ unanswered }) => unanswered)).toEqual([0, 1, 2]);
    expect(parts.clock.now()).toBe(0.3 * BOUND_MS);
    renew(parts, 3, 5);
    expect(parts.keeper.beginRequest().unanswered).toBe(0);
  });

  it('are repeated soon, and not together, while no controller is followed', () => {
    const { keeper } = createKeeper(3);
    const pauses = Array.from({ length: 200 }, () => {
      keeper.recordUnsent(keeper.beginRequest());
      return keeper.requestDueInMs;
    });
    expect(Math.max(...pauses)).toBeLessThanOrEqual(100);
    expect(Math.max(...pauses) - Math.min(...pauses)).toBeGreaterThan(40);
  });

  it('are due at once when a gateway that has just started finds its first controller', () => {
    const { keeper } = createKeeper();
    keeper.recordUnsent(keeper.beginRequest());
    keeper.handleControllerConnected();
    expect(keeper.requestDueInMs).toBe(0);
  });

  it('are not due at once when a controller is found after a cut', () => {
    const parts = createKeeper(3);
    renew(parts, 3, 5);
    parts.clock.advance(LEASE_MS);
    parts.keeper.recordUnsent(parts.keeper.beginRequest());
    parts.keeper.handleControllerConnected();
    expect(parts.keeper.requestDueInMs).toBeGreaterThan(0);
  });
});
