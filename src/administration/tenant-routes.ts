/** Tenants of the newest route document, as operators see them; no answer holds a key. */
import * as z from 'zod';
import type { RouteDocument } from '../routes/route-document.js';
import { readRouteDocument } from '../routes/read-route-document.js';
import { shortDigestOf } from '../tenants/key-digest.js';
import type { TenantEntry } from '../tenants/tenant-directory.js';
import type { AdministrationContext } from './administration-context.js';
import { AdministrationError } from './administration-error.js';
import {
  tenantListSchema,
  tenantReportSchema,
  type TenantList,
  type TenantReport,
} from './response-schemas.js';
import { defineRoute, type Route } from './route.js';

const READ_STEP = 'read tenants';

/** Undefined before the first document. */
async function readDocument(context: AdministrationContext): Promise<RouteDocument | undefined> {
  const { routeDocument } = context.dependencies;
  if (routeDocument === undefined) {
    throw new AdministrationError('not_offered', READ_STEP, 'this controller keeps no routes');
  }
  await context.catchUp();
  const stored = routeDocument.current();
  return stored && readRouteDocument(stored.content);
}

/** Names of tenants are free text, unlike those of services. */
function decodeName(encoded: string): string {
  try {
    return decodeURIComponent(encoded);
  } catch {
    throw new AdministrationError('not_found', READ_STEP, 'the name of the tenant cannot be read');
  }
}

function summarise({ keys, priority, ...tenant }: TenantEntry): TenantList['tenants'][0] {
  const { name, requestsPerSecond, burst } = tenant;
  return { name, priority: priority ?? null, requestsPerSecond, burst, keys: keys.length };
}

function digestsOf({ keys }: TenantEntry): string[] {
  return keys.map(shortDigestOf);
}

async function listTenants(context: AdministrationContext, digest?: string): Promise<TenantList> {
  const document = await readDocument(context);
  const tenants = (document?.tenants ?? []).filter(
    (tenant) => digest === undefined || digestsOf(tenant).includes(digest),
  );
  return { version: document?.version ?? null, tenants: tenants.map(summarise) };
}

async function explainTenant(context: AdministrationContext, name: string): Promise<TenantReport> {
  const document = await readDocument(context);
  const tenant = document?.tenants?.find((one) => one.name === name);
  if (document === undefined || tenant === undefined) {
    throw new AdministrationError('not_found', READ_STEP, `there is no tenant ${name}`);
  }
  const { version } = document;
  return { version, tenant: summarise(tenant), keyDigests: digestsOf(tenant) };
}

export const TENANT_ROUTES: readonly Route[] = [
  defineRoute({
    method: 'GET',
    path: '/v1/tenants',
    operationId: 'listTenants',
    summary: 'The tenants that the newest route document names, or the one that holds a key.',
    access: 'any_token',
    query: z.strictObject({ digest: z.string().min(1).optional() }),
    response: tenantListSchema,
    errors: ['not_offered'],
    handle: ({ context, query }) => listTenants(context, query.digest),
  }),
  defineRoute({
    method: 'GET',
    path: '/v1/tenants/{tenant}',
    operationId: 'explainTenant',
    summary: 'One tenant with short digests of its keys.',
    access: 'whole_tree',
    response: tenantReportSchema,
    errors: ['not_found', 'not_offered'],
    handle: ({ context, parameters }) =>
      explainTenant(context, decodeName(parameters['tenant'] ?? '')),
  }),
];
