import { describe, expect, it } from 'vitest';
import type { Tenant } from '../../src/tenants/tenant.js';
import { admittedByLimit, allowedInWindow, fullestWindow, QuotaReplay } from './quota-replay.js';

const SECOND = 1_000;
const SIZES = [1, 8, 87];
const SEEDS = [1, 2, 3, 4];

/** A small tenant, a usual one and a large one. */
const LIMITS = [
  { requestsPerSecond: 0.5, burst: 2 },
  { requestsPerSecond: 4, burst: 0 },
  { requestsPerSecond: 20, burst: 10 },
  { requestsPerSecond: 200, burst: 100 },
];

function tenantOf(replay: QuotaReplay, name: string): Tenant {
  return replay.tenants.get(name) ?? expect.fail(name);
}

function expectWithinBound(replay: QuotaReplay, name: string, from = -Infinity): number {
  const { most, windows } = fullestWindow(replay.outcomes, name, replay.settings, from);
  expect(most).toBeLessThanOrEqual(allowedInWindow(tenantOf(replay, name)));
  return windows;
}

function started(count: number, seed: number): { replay: QuotaReplay; owner: number } {
  const replay = new QuotaReplay(count, seed);
  const owner = replay.startOwner();
  replay.connectAll(owner);
  return { replay, owner };
}

describe('limits of tenants over many gateways', () => {
  const cases = SIZES.flatMap((size) => LIMITS.map((limits) => ({ size, ...limits })));

  it.each(cases)(
    'keeps $requestsPerSecond/s + $burst at $size gateways through a burst at eight times',
    async ({ size, requestsPerSecond, burst }) => {
      let windows = 0;
      for (const seed of SEEDS) {
        const { replay } = started(size, seed);
        replay.limit('one', requestsPerSecond, burst);
        replay.load('one', requestsPerSecond * 0.5, 0, 10 * SECOND);
        replay.load('one', requestsPerSecond * 8, 10 * SECOND, 11 * SECOND);
        replay.load('one', requestsPerSecond * 8, 20 * SECOND, 40 * SECOND);
        for (let gateway = 0; gateway < size; gateway += 1) replay.request(50_000, 'one', gateway);
        await replay.runUntil(60 * SECOND);
        windows += expectWithinBound(replay, 'one');
      }
      expect(windows).toBeGreaterThan(0);
    },
  );

  it.each(cases)(
    'admits what the limit allows: $requestsPerSecond/s + $burst at $size gateways',
    async ({ size, requestsPerSecond, burst }) => {
      let [wronglyRefused, beneath, admitted, allowed] = [0, 0, 0, 0];
      for (const seed of SEEDS) {
        const { replay } = started(size, seed);
        replay.limit('one', requestsPerSecond, burst);
        replay.limit('hot', requestsPerSecond, burst);
        const span = Math.max(60, 200 / requestsPerSecond) * SECOND;
        replay.load('one', requestsPerSecond * 0.9, 10 * SECOND, 10 * SECOND + span);
        replay.load('hot', requestsPerSecond * 5, 10 * SECOND, 10 * SECOND + span);
        await replay.runUntil(20 * SECOND + span);
        const owed = admittedByLimit(replay.outcomes, tenantOf(replay, 'one'));
        beneath += owed.size;
        wronglyRefused += [...owed].filter(({ isAdmitted }) => !isAdmitted).length;
        const hot = replay.outcomes.filter(({ tenant }) => tenant === 'hot');
        allowed += admittedByLimit(hot, tenantOf(replay, 'hot')).size;
        admitted += hot.filter(({ isAdmitted }) => isAdmitted).length;
        expectWithinBound(replay, 'hot');
      }
      console.info(
        `${size} gateways, ${requestsPerSecond}/s + ${burst}: refused of what lies beneath ` +
          `${wronglyRefused} of ${beneath}; at five times ${(admitted / allowed).toFixed(3)}`,
      );
      expect(wronglyRefused / beneath).toBeLessThan(0.001);
      expect(admitted / allowed).toBeGreaterThanOrEqual(0.97);
    },
  );
});
