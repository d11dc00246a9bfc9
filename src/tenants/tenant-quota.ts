/** Keeps the requests of each tenant, at all gateways together, to its limit. */
import type { Tenant } from './tenant.js';

/** Whether a request may be sent on. */
export type QuotaDecision =
  | { readonly isAdmitted: true }
  | {
      readonly isAdmitted: false;
      /** From now until a request of the tenant is expected to be admitted. Milliseconds. */
      readonly retryAfterMs: number;
    };

/** The decision for a request that may be sent on. */
export const ADMITTED: QuotaDecision = { isAdmitted: true };

/** See the module comment. */
export interface TenantQuota {
  /**
   * Takes one request of the tenant. At once where what is known suffices; else after one question.
   * `until`: clock reading after which a decision is of no use; it is a refusal then. Milliseconds.
   */
  take(tenant: Tenant, until?: number): QuotaDecision | Promise<QuotaDecision>;
  /**
   * A request that was taken ran nowhere: it does not count. One that was taken long ago may have
   * to count all the same. `takenAt`: clock reading. Milliseconds.
   */
  returnToken(tenant: Tenant, takenAt: number): void;
}

/** Where no limits are kept. */
export const UNLIMITED_QUOTA: TenantQuota = {
  take: () => ADMITTED,
  returnToken: () => undefined,
};
