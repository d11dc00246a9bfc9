/**
 * Authenticates a request by its API key against the route document that the request is pinned to.
 * A request without a valid key is refused before any further work, so that it causes little load.
 */
import type { Route } from '../routes/route-document.js';
import type { RouteTable } from '../routes/route-table.js';
import type { HttpRequest } from '../seams/http.js';
import type { Tenant } from '../tenants/tenant.js';

/** Why a request cannot be attributed to a tenant. */
export enum KeyProblem {
  /** The key header is absent or empty. */
  Missing = 'missing',
  /** The key header occurs more than once, so the intended key is ambiguous. */
  Repeated = 'repeated',
  /** No tenant in the route document holds the key. */
  Unknown = 'unknown',
}

/** Text for the response and the log; it never contains the key. */
export const KEY_PROBLEM_REASONS: Readonly<Record<KeyProblem, string>> = {
  [KeyProblem.Missing]: 'no API key',
  [KeyProblem.Repeated]: 'more than one API key',
  [KeyProblem.Unknown]: 'no tenant holds this API key',
};

/** The tenant, undefined where the request needs no key, or the problem with the key. */
export type Authentication =
  { readonly tenant: Tenant | undefined } | { readonly problem: KeyProblem };

/**
 * Finds the tenant of a request. No key is needed on a public route or when the document names no
 * tenants. `keyHeader` is the name of the header that carries the key, in lower case.
 */
export function authenticate(
  request: HttpRequest,
  { tenants }: RouteTable,
  route: Route,
  keyHeader: string,
): Authentication {
  if (tenants === undefined || route.public) return { tenant: undefined };
  const key = request.headers[keyHeader] ?? '';
  if (request.isRepeated?.(keyHeader) === true) return { problem: KeyProblem.Repeated };
  if (key === '') return { problem: KeyProblem.Missing };
  const tenant = tenants.findByKey(key);
  return tenant === undefined ? { problem: KeyProblem.Unknown } : { tenant };
}
