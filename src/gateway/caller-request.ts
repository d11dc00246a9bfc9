/** A caller's request after routing and authentication. */
import type { Route } from '../routes/route-document.js';
import type { RouteTable } from '../routes/route-table.js';
import type { Tenant } from '../tenants/tenant.js';
import type { HttpHeaders, ResponseHolder } from '../seams/http.js';

/** Immutable, and shared by all attempts of the request at this gateway. */
export interface CallerRequest {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  /** End-to-end headers that are forwarded to replicas. */
  readonly headers: HttpHeaders;
  readonly body: Uint8Array;
  /** Hash of what the request asks for, the same each time it is sent; see `fingerprintOf`. */
  readonly fingerprint: string;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Keeps the responses of replicas until the caller is answered; undefined where they are passed on at once. */
  readonly responses?: ResponseHolder;
  /** The route table version that the request is pinned to, for all of its attempts. */
  readonly table: RouteTable;
  readonly route: Route;
  /** The tenant that sent the request; undefined where it needs no API key. */
  readonly tenant: Tenant | undefined;
  /** Clock reading. Milliseconds. */
  readonly receivedAt: number;
  /** Clock reading. Milliseconds. */
  readonly deadline: number;
}

/** Priority of the request; 0 is the highest. The tenant's priority overrides the route's. */
export function priorityOf({ tenant, route }: CallerRequest): number {
  return tenant?.priority ?? route.priority;
}
