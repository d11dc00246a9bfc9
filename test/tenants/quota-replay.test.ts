import { describe, expect, it } from 'vitest';
import { seededRandom } from '../../lab/simulation/seeded-random.js';
import { QuotaDecisionPath } from '../../src/tenants/quota-decision-path.js';
import type { Tenant } from '../../src/tenants/tenant.js';
import {
  admittedByLimit,
  allowedInWindow,
  busiestWindow,
  QuotaReplay,
  refusedBelowLimit,
  type Outcome,
} from './quota-replay.js';

const SECOND = 1_000;
const SIZES = [1, 8, 87];
const SEEDS = [1, 2, 3, 4];

/** Limits of small, medium and large tenants. */
const LIMITS = [
  { requestsPerSecond: 0.5, burst: 2 },
  { requestsPerSecond: 4, burst: 0 },
  { requestsPerSecond: 20, burst: 10 },
  { requestsPerSecond: 200, burst: 100 },
];

function tenantOf(replay: QuotaReplay, name: string): Tenant {
  return replay.tenants.get(name) ?? expect.fail(name);
}

function expectWithinTolerance(replay: QuotaReplay, name: string, from = -Infinity): number {
  const { most, windows } = busiestWindow(replay.outcomes, name, replay.settings, from);
  expect(most).toBeLessThanOrEqual(allowedInWindow(tenantOf(replay, name)));
  return windows;
}

function startReplay(count: number, seed: number): { replay: QuotaReplay; owner: number } {
  const replay = new QuotaReplay(count, seed);
  const owner = replay.startOwner();
  replay.connectAll(owner);
  return { replay, owner };
}

describe('limits of tenants over many gateways', () => {
  const cases = SIZES.flatMap((size) => LIMITS.map((limits) => ({ size, ...limits })));

  it.each(cases)(
    'enforces $requestsPerSecond/s + $burst at $size gateways under load at eight times the limit',
    async ({ size, requestsPerSecond, burst }) => {
      let windows = 0;
      for (const seed of SEEDS) {
        const { replay } = startReplay(size, seed);
        replay.setLimit('one', requestsPerSecond, burst);
        replay.addPoissonLoad('one', requestsPerSecond * 0.5, 0, 10 * SECOND);
        replay.addPoissonLoad('one', requestsPerSecond * 8, 10 * SECOND, 11 * SECOND);
        replay.addPoissonLoad('one', requestsPerSecond * 8, 20 * SECOND, 40 * SECOND);
        for (let gateway = 0; gateway < size; gateway += 1) replay.request(50_000, 'one', gateway);
        await replay.runUntil(60 * SECOND);
        windows += expectWithinTolerance(replay, 'one');
      }
      expect(windows).toBeGreaterThan(0);
    },
  );

  it.each(cases)(
    'admits what the limit of $requestsPerSecond/s + $burst allows at $size gateways',
    async ({ size, requestsPerSecond, burst }) => {
      let [refused, admittedByExactLimit, admitted, allowed] = [0, 0, 0, 0];
      for (const seed of SEEDS) {
        const { replay } = startReplay(size, seed);
        replay.setLimit('one', requestsPerSecond, burst);
        replay.setLimit('hot', requestsPerSecond, burst);
        const span = Math.max(20, 400 / requestsPerSecond) * SECOND;
        replay.addPoissonLoad('one', requestsPerSecond * 0.9, 10 * SECOND, 10 * SECOND + span);
        replay.addPoissonLoad('hot', requestsPerSecond * 5, 10 * SECOND, 10 * SECOND + span);
        await replay.runUntil(20 * SECOND + span);
        refused += refusedBelowLimit(replay.outcomes, tenantOf(replay, 'one'));
        admittedByExactLimit += admittedByLimit(replay.outcomes, tenantOf(replay, 'one'));
        const hot = replay.outcomes.filter(({ tenant }) => tenant === 'hot');
        allowed += admittedByLimit(hot, tenantOf(replay, 'hot'));
        admitted += hot.filter(({ isAdmitted }) => isAdmitted).length;
        expectWithinTolerance(replay, 'hot');
      }
      console.info(
        `${size} gateways, ${requestsPerSecond}/s + ${burst}: refused below the limit ` +
          `${refused} of ${admittedByExactLimit}; admitted at five times ${(admitted / allowed).toFixed(3)}`,
      );
      expect(refused / admittedByExactLimit).toBeLessThan(0.001);
      expect(admitted / allowed).toBeGreaterThanOrEqual(0.97);
    },
  );
});

describe('limits of tenants during faults', () => {
  const sizes = [8, 87];
  const limits = { requestsPerSecond: 20, burst: 10 };
  const small = { requestsPerSecond: 0.5, burst: 2 };
  const faults: Readonly<Record<string, (replay: QuotaReplay, owner: number) => void>> = {
    'an owner is killed and another takes over': (replay, owner) => {
      replay.schedule(30_000, () => replay.stopOwner(owner));
      replay.schedule(31_500, () => replay.connectAll(replay.startOwner()));
    },
    'the owner changes twice within a window': (replay) => {
      replay.schedule(30_000, () => replay.connectAll(replay.startOwner()));
      replay.schedule(32_000, () => replay.connectAll(replay.startOwner()));
    },
    'two owners grant for a moment, each to half of the gateways': (replay, owner) => {
      replay.schedule(30_000, () => {
        const other = replay.startOwner();
        for (let gateway = 0; gateway < replay.gatewayCount; gateway += 2)
          replay.connect(gateway, other);
      });
      replay.schedule(30_100, () => replay.connectAll(owner + 1));
    },
    'half of the gateways lose the owner': (replay) => {
      replay.schedule(30_000, () => {
        for (let gateway = 0; gateway < replay.gatewayCount; gateway += 2)
          replay.disconnect(gateway);
      });
    },
    'all gateways lose the owner': (replay) => {
      replay.schedule(30_000, () => {
        for (let gateway = 0; gateway < replay.gatewayCount; gateway += 1)
          replay.disconnect(gateway);
      });
    },
    'all gateways and the owner restart': (replay) => {
      replay.schedule(30_000, () => {
        for (let gateway = 0; gateway < replay.gatewayCount; gateway += 1)
          replay.startGateway(gateway);
      });
      replay.schedule(31_000, () => replay.connectAll(replay.startOwner()));
    },
    'gateways restart continually': (replay, owner) => {
      for (let step = 0; step < 40; step += 1) {
        const gateway = (step * 7) % replay.gatewayCount;
        replay.schedule(30_000 + step * 250, () => replay.disconnect(gateway));
        replay.schedule(30_100 + step * 250, () => replay.startGateway(gateway));
        replay.schedule(30_600 + step * 250, () => replay.connect(gateway, owner));
      }
    },
  };
  const cases = Object.keys(faults).flatMap((fault) =>
    sizes.flatMap((size) => [limits, small].map((tenant) => ({ fault, size, ...tenant }))),
  );

  it.each(cases)(
    'enforces $requestsPerSecond/s + $burst at $size gateways when $fault',
    async ({ fault, size, requestsPerSecond, burst }) => {
      let ownerless = 0;
      for (const seed of [...SEEDS, 5, 6, 7, 8]) {
        const { replay, owner } = startReplay(size, seed);
        replay.setLimit('one', requestsPerSecond, burst);
        replay.addPoissonLoad('one', requestsPerSecond * 0.5, 16 * SECOND, 30 * SECOND);
        replay.addPoissonLoad('one', requestsPerSecond * 8, 28 * SECOND, 50 * SECOND);
        // One request at every gateway at the worst moments.
        for (const at of [30_001, 34_000, 36_000]) {
          for (let gateway = 0; gateway < size; gateway += 1) replay.request(at, 'one', gateway);
        }
        faults[fault]?.(replay, owner);
        await replay.runUntil(60 * SECOND);
        expectWithinTolerance(replay, 'one');
        ownerless += replay.outcomes.filter(
          ({ path }) => path === QuotaDecisionPath.WithoutOwner,
        ).length;
      }
      // Guards against staying within the tolerance merely by refusing every request.
      if (fault === 'all gateways lose the owner') expect(ownerless).toBeGreaterThan(0);
    },
  );

  it('enforces a lowered limit after one window, and applies a raised limit at once', async () => {
    for (const seed of SEEDS) {
      const { replay } = startReplay(87, seed);
      replay.setLimit('one', 100, 50);
      replay.addPoissonLoad('one', 100, 0, 20 * SECOND);
      replay.schedule(10 * SECOND, () => replay.setLimit('one', 2, 1));
      replay.schedule(20 * SECOND, () => replay.setLimit('one', 50, 10));
      replay.addPoissonLoad('one', 45, 20 * SECOND, 40 * SECOND);
      await replay.runUntil(20 * SECOND);
      expectWithinTolerance(replay, 'one', 15 * SECOND);
      const before = replay.outcomes.length;
      await replay.runUntil(45 * SECOND);
      const raised = replay.outcomes.slice(before).filter(({ at }) => at > 25 * SECOND);
      expect(refusedBelowLimit(raised, tenantOf(replay, 'one'))).toBe(0);
    }
  });

  it('does not count requests that ran nowhere, and enforces the limit on the others', async () => {
    for (const seed of SEEDS) {
      const { replay } = startReplay(87, seed);
      replay.setLimit('one', 20, 10);
      for (let at = 0; at < 30 * SECOND; at += 25) replay.request(at, 'one', at % 87, 5);
      replay.addPoissonLoad('one', 18, 5 * SECOND, 30 * SECOND);
      await replay.runUntil(40 * SECOND);
      expectWithinTolerance(replay, 'one');
      const runs = replay.outcomes.filter(({ isAdmitted }) => isAdmitted).length;
      expect(runs).toBeGreaterThan(0.85 * 18 * 25);
    }
  });
});

describe('limits of tenants under random load and faults', () => {
  const RUN_MS = 60_000;

  /** Schedules the tenants, load and faults that follow from the seed. */
  function planRandomFaults(replay: QuotaReplay, first: number, seed: number): void {
    const random = seededRandom(seed, 'day');
    const anyGateway = (): number => random.nextInteger(0, replay.gatewayCount - 1);
    let owner = first;
    for (let index = 0; index < 6; index += 1) {
      const name = `tenant-${index}`;
      const rate = 2 ** random.nextInteger(-1, 6);
      replay.setLimit(name, rate, random.nextInteger(0, 2 * rate + 2));
      replay.addPoissonLoad(name, rate * 0.8, 0, RUN_MS);
      const hotAt = random.nextInteger(0, RUN_MS);
      const hotGateways = [anyGateway(), anyGateway()];
      const pick =
        index % 2 === 0 ? undefined : (): number => hotGateways[random.nextInteger(0, 1)] ?? 0;
      replay.addPoissonLoad(name, rate * 8, hotAt, hotAt + 8_000, pick);
    }
    for (let fault = 0; fault < 5; fault += 1) {
      const at = random.nextInteger(5_000, RUN_MS);
      const kind = random.nextInteger(0, 2);
      if (kind === 0) {
        replay.schedule(at, () => replay.stopOwner(owner));
        replay.schedule(at + random.nextInteger(800, 2_500), () => {
          owner = replay.startOwner();
          replay.connectAll(owner);
        });
      } else if (kind === 1) {
        const cut = Array.from({ length: Math.ceil(replay.gatewayCount / 2) }, anyGateway);
        replay.schedule(at, () => cut.forEach((gateway) => replay.disconnect(gateway)));
        replay.schedule(at + 7_000, () => cut.forEach((gateway) => replay.connect(gateway, owner)));
      } else {
        const gateway = anyGateway();
        replay.schedule(at, () => replay.disconnect(gateway));
        replay.schedule(at, () => replay.startGateway(gateway));
        replay.schedule(at + 400, () => replay.connect(gateway, owner));
      }
    }
  }

  it('enforces every limit in more than ten thousand windows', async () => {
    let windows = 0;
    let over = 0;
    for (let seed = 1; seed <= 20; seed += 1) {
      const { replay, owner } = startReplay(seed % 2 === 0 ? 87 : 8, seed);
      planRandomFaults(replay, owner, seed);
      await replay.runUntil(RUN_MS + 20_000);
      for (const tenant of replay.tenants.values()) {
        const { most, windows: windowsOfTenant } = busiestWindow(replay.outcomes, tenant.name);
        windows += windowsOfTenant;
        if (most > allowedInWindow(tenant)) over += 1;
      }
    }
    console.info(`${over} tenants over their limit; ${windows} windows`);
    expect(over).toBe(0);
    expect(windows).toBeGreaterThan(10_000);
  });

  it('enforces every limit at 1,100 gateways', async () => {
    const { replay, owner } = startReplay(1_100, 1);
    planRandomFaults(replay, owner, 1);
    for (let gateway = 0; gateway < 1_100; gateway += 1)
      replay.request(30_000, 'tenant-0', gateway);
    await replay.runUntil(RUN_MS + 20_000);
    for (const name of replay.tenants.keys()) expectWithinTolerance(replay, name);
  });
});

describe('costs of the limits', () => {
  it('refuses no more requests of other tenants while one tenant is at eight times its limit', async () => {
    const refusedOfOthers = async (seed: number, hotFactor: number): Promise<number> => {
      const { replay } = startReplay(87, seed);
      replay.setLimit('hot', 4, 4);
      for (let other = 0; other < 20; other += 1) {
        replay.setLimit(`other-${other}`, 0.5, 2);
        replay.addPoissonLoad(`other-${other}`, 0.4, 10 * SECOND, 60 * SECOND);
      }
      replay.addPoissonLoad('hot', 4 * hotFactor, 10 * SECOND, 60 * SECOND);
      await replay.runUntil(70 * SECOND);
      const others = replay.outcomes.filter(({ tenant }) => tenant !== 'hot');
      return others.filter(({ isAdmitted }) => !isAdmitted).length;
    };
    for (const seed of SEEDS) {
      expect(await refusedOfOthers(seed, 8)).toBe(await refusedOfOthers(seed, 0.5));
    }
  });

  it('delays no request of a tenant below half its limit when the share of each gateway has room for whole uses', async () => {
    for (const seed of SEEDS) {
      const { replay } = startReplay(8, seed);
      replay.setLimit('one', 100, 50);
      // A gateway that has just started doesn't know the number of gateways.
      replay.addPoissonLoad('one', 45, 16 * SECOND, 40 * SECOND);
      await replay.runUntil(45 * SECOND);
      expect(replay.outcomes.filter(({ waited }) => waited)).toEqual([]);
    }
  });

  it('sends at most 2.1 frames per request at 8 to 1,100 gateways', async () => {
    const costs: number[] = [];
    for (const size of [8, 87, 1_100]) {
      const { replay } = startReplay(size, 1);
      replay.setLimit('one', 40, 20);
      replay.addPoissonLoad('one', 36, 16 * SECOND, 46 * SECOND);
      await replay.runUntil(50 * SECOND);
      const requests = replay.outcomes.length;
      const waited = replay.outcomes.filter((outcome) => outcome.waited);
      const delays = waited.map(({ at, decidedAt }) => decidedAt - at);
      const longest = Math.max(0, ...delays).toFixed(1);
      costs.push(replay.frames / requests);
      console.info(
        `${size} gateways: ${(replay.frames / requests).toFixed(2)} frames and ` +
          `${(replay.bytes / requests).toFixed(0)} bytes a request, ` +
          `${(waited.length / requests).toFixed(3)} waited, ${longest} ms at most`,
      );
      expect(refusedBelowLimit(replay.outcomes, tenantOf(replay, 'one'))).toBe(0);
      expectWithinTolerance(replay, 'one');
    }
    for (const cost of costs) expect(cost).toBeLessThanOrEqual(2.1);
  });

  /**
   * Simulates a burst of one tenant; returns the decisions on the refused requests that are retried
   * at their retry time. Each retry is scheduled when its refusal is decided: a retry that is
   * scheduled later would set the clock back.
   */
  async function simulateRetries(): Promise<Outcome[]> {
    const { replay } = startReplay(87, 1);
    replay.setLimit('one', 10, 10);
    replay.addPoissonLoad('one', 80, 10 * SECOND, 11 * SECOND);
    const refused = new Set<string>();
    replay.onRefused = (outcome) => {
      refused.add(outcome.caller);
      replay.retry(outcome, outcome.gateway);
    };
    await replay.runUntil(60 * SECOND);
    expect(refused.size).toBeGreaterThan(20);
    const retried = replay.outcomes.filter(({ caller }) => refused.has(caller));
    return retried.filter((outcome) => outcome.attempt > 1);
  }

  // Guards against a token that was told to one caller being taken by another.
  it('admits every refused caller that comes back when told', async () => {
    const returned = await simulateRetries();
    const admitted = returned.filter(({ isAdmitted }) => isAdmitted);
    expect(admitted).toHaveLength(returned.length);
  });

  it('adds less than a millisecond for tenants beneath half their limit at 87 gateways', async () => {
    const { replay } = startReplay(87, 1);
    replay.setLimit('one', 20, 10);
    replay.addPoissonLoad('one', 9, 16 * SECOND, 46 * SECOND);
    await replay.runUntil(50 * SECOND);
    const waits = replay.outcomes.map(({ at, decidedAt }) => decidedAt - at);
    const late = waits.filter((wait) => wait >= 1);
    expect(late.length / waits.length).toBeLessThanOrEqual(0.01);
  });

  it('gives refused callers different retry times', async () => {
    const returned = await simulateRetries();
    const times = returned.map(({ at }) => at).sort((left, right) => left - right);
    const together = times.map((end) => times.filter((at) => at > end - 200 && at <= end).length);
    expect(Math.max(...together)).toBeLessThanOrEqual(6);
  });
});
