/**
 * Sets the header that tells replicas the tenant of a request. The name is derived from the API key
 * alone; the key itself and a tenant name sent by the caller are not forwarded.
 */
import type { HttpHeaders } from '../seams/http.js';
import type { Tenant } from '../tenants/tenant.js';
import type { ExchangeHeaders } from './exchange-headers.js';

/** Back ends that expose headers as variables do not distinguish `_` from `-`. */
function normalizeHeaderName(name: string): string {
  return name.replaceAll('_', '-');
}

/**
 * Returns `headers` without any key or tenant header, plus the tenant's name if there is a tenant.
 * Use it only where the route document names tenants. The names in `headers` are in lower case.
 */
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
