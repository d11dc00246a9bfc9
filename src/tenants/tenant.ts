/** A tenant is a group of callers that share API keys, a priority and a rate limit. */

/** A tenant as the route document defines it, without its API keys. */
export interface Tenant {
  readonly name: string;
  /** Priority of the tenant's requests; 0 is the highest. Overrides the route's priority when present. */
  readonly priority?: number | undefined;
  /** Requests per second that all gateways together may admit; 0 means no limit. */
  readonly requestsPerSecond: number;
  /** Requests beyond the rate that may arrive at once. */
  readonly burst: number;
}

/** Whether the tenant has a rate limit. */
export function isLimited({ requestsPerSecond }: Tenant): boolean {
  return requestsPerSecond > 0;
}
