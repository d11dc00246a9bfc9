/** Limits the requests of each tenant over all gateways together. */
import type { Tenant } from './tenant.js';

/** Whether a request is admitted. */
export type QuotaDecision =
  | { readonly isAdmitted: true }
  | {
      readonly isAdmitted: false;
      /** Milliseconds until a request of the tenant is expected to be admitted. */
      readonly retryAfterMs: number;
      /** Set when no quota owner decided in time; the tenant may be beneath its limit. */
      readonly isUndecided?: true;
    };

/** The decision that admits a request. */
export const ADMITTED: QuotaDecision = { isAdmitted: true };

/** The rate limiter that a gateway consults for each request of a tenant. */
export interface TenantQuota {
  /**
   * Decides on one request of the tenant: at once where local state suffices, otherwise after asking the
   * quota owner. `until` is the clock reading, in milliseconds, by which a decision is needed; a
   * request that can't be decided by then is refused. `fingerprint` identifies the request each time
   * it is sent, in 16 or more hexadecimal digits; a retry is admitted by it.
   */
  take(
    tenant: Tenant,
    until?: number,
    fingerprint?: string,
  ): QuotaDecision | Promise<QuotaDecision>;
  /**
   * Returns the token of an admitted request that ran nowhere, so that it doesn't count. A request
   * that was admitted long ago may count nevertheless. `takenAt` is the clock reading of its
   * admission, in milliseconds.
   */
  returnToken(tenant: Tenant, takenAt: number): void;
}

/** Admits every request; used where no limits are enforced. */
export const UNLIMITED_QUOTA: TenantQuota = {
  take: () => ADMITTED,
  returnToken: () => undefined,
};
