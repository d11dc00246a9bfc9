/** What the owner remembers of tenants. */
import { expect, it } from 'vitest';
import { QuotaOwner } from '../../src/tenants/quota-owner.js';
import type { Tenant } from '../../src/tenants/tenant.js';
import { SETTINGS } from './quota-replay.js';

const TENANT: Tenant = { name: 'acme', requestsPerSecond: 10, burst: 100 };
/** By then buckets that are not used any more are looked for. Milliseconds. */
const EVICTED_AFTER_MS = 60_000;

function unused(): never {
  throw new Error('not used');
}

it('remembers what a tenant used that is taken out of the document and put back', () => {
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
