/** How far tenants have used their limits, as the controller knows that grants the tokens. */
import * as z from 'zod';
import type { QuotaServer } from '../tenants/quota-server.js';
import { computeQuotaBounds } from '../tenants/quota-bounds.js';
import { RETRY_AFTER_MS, type AdministrationContext } from './administration-context.js';
import { AdministrationError } from './administration-error.js';
import { tenantUsageListSchema, type TenantUsageList } from './response-schemas.js';
import { defineRoute, type Route } from './route.js';

const STEP = 'read usage of tenants';

function quotaOf({ dependencies }: AdministrationContext): QuotaServer {
  if (dependencies.quota !== undefined) return dependencies.quota;
  throw new AdministrationError('not_offered', STEP, 'limits of tenants are not kept here');
}

/** @throws AdministrationError `unavailable` at another controller, naming the one to ask. */
function readUsage(context: AdministrationContext, name: string | undefined): TenantUsageList {
  const quota = quotaOf(context);
  const usage = quota.usage();
  const owner = quota.ownerId;
  if (usage === undefined || owner === undefined) {
    const reason = `tokens are granted by ${owner ?? 'nobody at present'}; ask there`;
    throw new AdministrationError('unavailable', STEP, reason, { retryAfterMs: RETRY_AFTER_MS });
  }
  const wanted = usage.filter(({ tenant }) => name === undefined || tenant.name === name);
  if (name !== undefined && wanted.length === 0) {
    throw new AdministrationError('not_found', STEP, `no tenant ${name} has a limit`);
  }
  const { settings } = quota;
  const tenants = wanted.map(({ tenant, ...counts }) => ({
    name: tenant.name,
    requestsPerSecond: tenant.requestsPerSecond,
    burst: tenant.burst,
    allowed: computeQuotaBounds(tenant, settings).windowLimit,
    ...counts,
  }));
  return { owner, windowMs: settings.windowMs, tenants };
}

export const TENANT_USAGE_ROUTES: readonly Route[] = [
  defineRoute({
    method: 'GET',
    path: '/v1/tenant-usage',
    operationId: 'readTenantUsage',
    summary:
      'Requests of tenants with a limit over about the last window; only where tokens are granted.',
    access: 'any_token',
    query: z.strictObject({ name: z.string().min(1).max(255).optional() }),
    response: tenantUsageListSchema,
    errors: ['not_found', 'not_offered'],
    handle: async ({ context, query }) => readUsage(context, query.name),
  }),
];
