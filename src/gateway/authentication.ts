/**
 * Whose request it is, by its API key and the route document that it is pinned to. Answers the
 * load of callers without a valid key: they are refused before anything else is asked.
 */
import type { Route } from '../routes/route-document.js';
import type { RouteTable } from '../routes/route-table.js';
import type { HttpRequest } from '../seams/http.js';
import type { Tenant } from '../tenants/tenant.js';

/** Why a request is not taken for any tenant's. */
export enum KeyProblem {
  /** No key, or an empty one. */
  Missing = 'missing',
  /** More than one key header: which of them counts would be a guess. */
  Repeated = 'repeated',
  /** No tenant of the document holds the key. */
  Unknown = 'unknown',
}

/** What callers and log lines are told; never the key. */
export const KEY_PROBLEM_REASONS: Readonly<Record<KeyProblem, string>> = {
  [KeyProblem.Missing]: 'no API key',
  [KeyProblem.Repeated]: 'more than one API key',
  [KeyProblem.Unknown]: 'no tenant holds this API key',
};

/** The tenant, which is undefined where no key is needed; or why there is none. */
export type Authentication =
  { readonly tenant: Tenant | undefined } | { readonly problem: KeyProblem };

/** `keyHeader`: name of the header that carries the key, in lower case. */
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
