/** A tenant: callers that share API keys, a rank and a rate limit. */

/** As the route document names it. */
export interface Tenant {
  readonly name: string;
  /** Rank of its requests; 0 is the highest. Goes before the route's; absent: the route's holds. */
  readonly priority?: number | undefined;
  /** Requests a second that all gateways together may pass on; 0: no limit. */
  readonly requestsPerSecond: number;
  /** Requests beyond that which may come at once. */
  readonly burst: number;
}

/** Whether the requests of the tenant are limited at all. */
export function isLimited({ requestsPerSecond }: Tenant): boolean {
  return requestsPerSecond > 0;
}
