import { expect, it } from 'vitest';
import { AdministrationContext } from '../../src/administration/administration-context.js';
import type { AdministrationDependencies } from '../../src/administration/administration-dependencies.js';
import { AdministrationError } from '../../src/administration/administration-error.js';
import type { Route } from '../../src/administration/route.js';
import { TENANT_USAGE_ROUTES } from '../../src/administration/tenant-usage-routes.js';
import type { TenantUsageList } from '../../src/administration/response-schemas.js';
import { formatTenantUsage } from '../../src/commands/operator-tenants-usage.js';
import type { QuotaServer } from '../../src/tenants/quota-server.js';

const SETTINGS = { windowMs: 5_000, overrun: 0.1, slack: 20 };
const REPORTS = [
  {
    tenant: { name: 'one', requestsPerSecond: 2, burst: 3 },
    admitted: 13,
    refused: 7,
    refusedWithoutOwner: 1,
  },
  {
    tenant: { name: 'two', requestsPerSecond: 5, burst: 0 },
    admitted: 0,
    refused: 0,
    refusedWithoutOwner: 0,
  },
];

function read(quota: Partial<QuotaServer> | undefined, name?: string): Promise<unknown> {
  const dependencies = { quota } as unknown as AdministrationDependencies;
  const context = new AdministrationContext(dependencies);
  const [route] = TENANT_USAGE_ROUTES as [Route];
  const principal = {} as Parameters<Route['handle']>[0]['principal'];
  const { signal } = new AbortController();
  const call = { context, principal, parameters: {}, body: undefined, query: { name }, signal };
  return route.handle(call);
}

const OWNER = { ownerId: 'controller-1', settings: SETTINGS, usage: () => REPORTS };

it('tells of every tenant with a limit what was admitted and refused', async () => {
  const list = (await read(OWNER)) as TenantUsageList;
  const [route] = TENANT_USAGE_ROUTES as [Route];
  expect(route.response.parse(list)).toEqual(list);
  expect(list.owner).toBe('controller-1');
  expect(list.tenants.map(({ name, allowed }) => [name, allowed])).toEqual([
    ['one', 13],
    ['two', 25],
  ]);
  expect(formatTenantUsage(list)).toBe(
    'Granted by controller-1; requests of the last 5 s.\n' +
      'TENANT  LIMIT    ADMITTED  OVER LIMIT  NOBODY TO ASK\n' +
      'one     2/s + 3  13 of 13  7           1\n' +
      'two     5/s + 0  0 of 25   0           0\n',
  );
});

it('tells of one tenant, and that another has no limit', async () => {
  const list = (await read(OWNER, 'two')) as TenantUsageList;
  expect(list.tenants.map(({ name }) => name)).toEqual(['two']);
  await expect(read(OWNER, 'three')).rejects.toMatchObject({ code: 'not_found' });
});

it('names the controller to ask, and says where limits are not kept', async () => {
  const other = { ownerId: 'controller-2', settings: SETTINGS, usage: () => undefined };
  await expect(read(other)).rejects.toThrow('controller-2');
  await expect(read(other)).rejects.toMatchObject({ code: 'unavailable' });
  await expect(read(undefined)).rejects.toBeInstanceOf(AdministrationError);
  await expect(read(undefined)).rejects.toMatchObject({ code: 'not_offered' });
});
