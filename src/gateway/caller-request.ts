/** A caller's request as the gateway works on it. */
import type { Route } from '../routes/route-document.js';
import type { RouteTable } from '../routes/route-table.js';
import type { Tenant } from '../tenants/tenant.js';
import type { HttpHeaders } from '../seams/http.js';

/** See the module comment. */
export interface CallerRequest {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  /** Those that travel with it. */
  readonly headers: HttpHeaders;
  readonly body: Uint8Array;
  /** Of what it asks; see `fingerprintOf`. */
  readonly fingerprint: string;
  /** Aborts when the caller has gone. */
  readonly signal: AbortSignal;
  /** The version of the routes that all of it goes by. */
  readonly table: RouteTable;
  readonly route: Route;
  /** Whose request it is; undefined where it needs no API key. */
  readonly tenant: Tenant | undefined;
  /** Clock readings. Milliseconds. */
  readonly receivedAt: number;
  readonly deadline: number;
}

/** Rank of the request; 0 is the highest. The tenant's goes before the route's. */
export function priorityOf({ tenant, route }: CallerRequest): number {
  return tenant?.priority ?? route.priority;
}
