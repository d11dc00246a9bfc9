/** The design that was built beside others that were weighed, in the same replay. */
import { describe, expect, it } from 'vitest';
import { computeQuotaBounds } from '../../src/tenants/quota-bounds.js';
import type { Tenant } from '../../src/tenants/tenant.js';
import { TokenBucket } from '../../src/tenants/token-bucket.js';
import {
  admittedByLimit,
  allowedInWindow,
  busiestWindow,
  QuotaReplay,
  refusedBelowLimit,
  SETTINGS,
} from './quota-replay.js';

const GATEWAYS = 87;
const SEEDS = [1, 2, 3];
const TENANTS: readonly Tenant[] = [
  { name: 'small', requestsPerSecond: 0.5, burst: 2 },
  { name: 'usual', requestsPerSecond: 20, burst: 10 },
  { name: 'large', requestsPerSecond: 200, burst: 100 },
];

/** Runs a steady load at 0.9 of the limit; then one request at every gateway, and eight times the limit. */
async function simulate(
  replay: QuotaReplay,
  { name, requestsPerSecond, burst }: Tenant,
): Promise<void> {
  replay.setLimit(name, requestsPerSecond, burst);
  replay.connectAll(replay.startOwner());
  replay.addPoissonLoad(name, requestsPerSecond * 0.9, 20_000, 40_000);
  for (let gateway = 0; gateway < GATEWAYS; gateway += 1) replay.request(60_000, name, gateway);
  replay.addPoissonLoad(name, requestsPerSecond * 8, 60_000, 62_000);
  await replay.runUntil(70_000);
}

/** Decides anew, by a share of the limit at each gateway. */
function divideEqually(replay: QuotaReplay, tenant: Tenant): void {
  const bounds = computeQuotaBounds(tenant, SETTINGS);
  const share = {
    ...bounds,
    ratePerMs: bounds.ratePerMs / GATEWAYS,
    capacity: (bounds.capacity + bounds.maximumUnconfirmed) / GATEWAYS,
  };
  const buckets = replay.outcomes.map(() => new TokenBucket(share, 0, share.capacity));
  for (const outcome of replay.outcomes) {
    outcome.decidedAt = outcome.at;
    outcome.waited = false;
    outcome.isAdmitted = buckets[outcome.gateway]?.take(1, 0, outcome.at) === 1;
  }
}

interface Measurements {
  readonly exceedsLimit: boolean;
  readonly refusedBelowLimitFraction: number;
  readonly waitedFraction: number;
}

function measure(replay: QuotaReplay, tenant: Tenant, design: string): Measurements {
  const { most } = busiestWindow(replay.outcomes, tenant.name);
  const allowed = allowedInWindow(tenant);
  const steady = replay.outcomes.filter(({ at }) => at < 60_000);
  const admittedByExactLimit = admittedByLimit(steady, tenant);
  const refused = refusedBelowLimit(steady, tenant);
  const waited = steady.filter((outcome) => outcome.waited).length / steady.length;
  console.info(
    `${design}, ${tenant.name}: ${most} of ${allowed.toFixed(0)} allowed in a window, ` +
      `refused beneath the limit ${refused} of ${admittedByExactLimit}, waited ${waited.toFixed(2)}`,
  );
  return {
    exceedsLimit: most > allowed,
    refusedBelowLimitFraction: refused / admittedByExactLimit,
    waitedFraction: waited,
  };
}

describe.each(TENANTS)('designs for a $name tenant', (tenant) => {
  it.each(SEEDS)('the one that was built keeps to the bound, seed %i', async (seed) => {
    const replay = new QuotaReplay(GATEWAYS, seed);
    await simulate(replay, tenant);
    const figures = measure(replay, tenant, 'built');
    expect(figures.exceedsLimit).toBe(false);
    expect(figures.refusedBelowLimitFraction).toBeLessThan(0.001);
  });

  it.each(SEEDS)('always asking keeps to the bound, seed %i', async (seed) => {
    const replay = new QuotaReplay(GATEWAYS, seed);
    replay.countGateways = () => undefined;
    await simulate(replay, tenant);
    expect(measure(replay, tenant, 'always asking').exceedsLimit).toBe(false);
  });

  it.each(SEEDS)('one unconfirmed use at each gateway delays least, seed %i', async (seed) => {
    const replay = new QuotaReplay(GATEWAYS, seed);
    replay.countGateways = () => computeQuotaBounds(tenant, SETTINGS).maximumUnconfirmed;
    await simulate(replay, tenant);
    const figures = measure(replay, tenant, 'one unconfirmed each');
    expect(figures.waitedFraction).toBeLessThan(0.1);
    // What speaks against it.
    if (tenant.name === 'small') expect(figures.exceedsLimit).toBe(true);
  });

  it.each(SEEDS)('equal shares refuse what lies beneath the limit, seed %i', async (seed) => {
    const replay = new QuotaReplay(GATEWAYS, seed);
    await simulate(replay, tenant);
    divideEqually(replay, tenant);
    expect(measure(replay, tenant, 'equal shares').refusedBelowLimitFraction).toBeGreaterThan(0.1);
  });
});
