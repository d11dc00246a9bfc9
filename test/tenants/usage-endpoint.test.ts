import { expect, it } from 'vitest';
import type { TenantUsageList } from '../../src/administration/response-schemas.js';
import { ControllerGroup } from '../control/controller-group.js';

it('usage is told by the controller that leads, and others name it', async () => {
  const group = await ControllerGroup.start();
  const answers: unknown[] = [];
  for (const host of group.hosts) {
    const response = group.request<TenantUsageList>(host, '/v1/tenant-usage');
    answers.push(await response.catch((error: unknown) => String(error)));
  }
  const [reported, ...others] = answers.filter((answer) => typeof answer === 'object');
  expect(others).toEqual([]);
  const { owner, tenants } = reported as TenantUsageList;
  expect(tenants).toEqual([]);
  const refusals = answers.filter((answer) => typeof answer === 'string');
  expect(refusals.length).toBe(group.hosts.length - 1);
  for (const refusal of refusals) expect(refusal).toContain(`granted by ${owner}`);
});
