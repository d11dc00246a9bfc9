/** Tests which accounts the quota owner keeps when tenants are removed from the route document. */
import { expect, it } from 'vitest';
import { QuotaOwner } from '../../src/tenants/quota-owner.js';
import type { Tenant } from '../../src/tenants/tenant.js';
import { SETTINGS } from './quota-replay.js';

const TENANT: Tenant = { name: 'acme', requestsPerSecond: 10, burst: 100 };
/** Time after which the owner searches for idle accounts. */
const EVICTED_AFTER_MS = 60_000;

function unused(): never {
  throw new Error('not used');
}

it('keeps the usage of a tenant that is removed from the document and added again', () => {
  let now = 0;
  const tenants = new Map([[TENANT.name, TENANT]]);
  const owner = new QuotaOwner({
    clock: { now: () => now, wallTime: unused, setTimer: unused, sleep: unused },
    settings: SETTINGS,
    findTenant: (name) => tenants.get(name),
    onLimitReached: () => undefined,
  });
  const use = (waiting: number): number => {
    const counts = { spent: 0, returned: 0, ahead: 0, refused: 0, refusedWithoutOwner: 0 };
    return owner.handleRequest({ kind: 'ask', tenant: TENANT.name, waiting, ...counts }).granted;
  };
  now = EVICTED_AFTER_MS;
  expect(use(0)).toBe(0);
  now += SETTINGS.windowMs * 4 - 1;
  const first = use(1_000);
  expect(first).toBeGreaterThanOrEqual(TENANT.burst);
  tenants.clear();
  now += 1;
  use(0);
  tenants.set(TENANT.name, TENANT);
  now += 1;
  expect(use(1_000)).toBe(0);
});

it('leaves room for the reservations of other tenants when one is far above its limit', () => {
  const tenants = ['loud', 'quiet'].map((name) => ({ ...TENANT, name, requestsPerSecond: 1_000 }));
  const owner = new QuotaOwner({
    clock: { now: () => 0, wallTime: unused, setTimer: unused, sleep: unused },
    settings: SETTINGS,
    findTenant: (wanted) => tenants.find(({ name }) => name === wanted),
    onLimitReached: () => undefined,
  });
  const refuse = (tenant: string, waiting: number): void => {
    const counts = { spent: 0, returned: 0, ahead: 0, refused: 0, refusedWithoutOwner: 0 };
    owner.handleRequest({ kind: 'ask', tenant, waiting, ...counts });
  };
  refuse('loud', 100_000);
  const loud = owner.reservationCount;
  refuse('quiet', 1_000);
  expect(owner.reservationCount - loud).toBeGreaterThan(800);
});
