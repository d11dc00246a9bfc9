/**
 * What replicas are told of a request's tenant: its name, from the key alone. No key goes on, and
 * no name that a caller claims.
 */
import type { HttpHeaders } from '../seams/http.js';
import type { Tenant } from '../tenants/tenant.js';
import type { ExchangeHeaders } from './exchange-headers.js';

/** Back ends that hand headers on as variables take `_` and `-` for the same. */
function normalizeHeaderName(name: string): string {
  return name.replaceAll('_', '-');
}

/** For documents that name tenants. Names of `headers` are in lower case. */
export function withTenant(
  headers: HttpHeaders,
  { apiKey, tenant: tenantHeader }: ExchangeHeaders,
  tenant: Tenant | undefined,
): HttpHeaders {
  const dropped = new Set([normalizeHeaderName(apiKey), normalizeHeaderName(tenantHeader)]);
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!dropped.has(normalizeHeaderName(name))) kept[name] = value;
  }
  if (tenant !== undefined) kept[tenantHeader] = tenant.name;
  return kept;
}
