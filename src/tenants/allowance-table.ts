/** What a gateway knows of the tenants that were used lately; bounded by those in use. */
import type { QuotaSettings } from '../configuration/tenant-settings.js';
import { boundsOf } from './quota-bounds.js';
import { TenantAllowance } from './tenant-allowance.js';
import type { Tenant } from './tenant.js';

/** How often idle tenants are looked for, in windows. */
const FORGET_WINDOWS = 4;
/** For how long after its last request a tenant is remembered, in windows. */
const REMEMBERED_WINDOWS = 2;

/** See the module comment. */
export class AllowanceTable {
  private readonly allowances = new Map<string, TenantAllowance>();
  private lastForgottenAt = -Infinity;

  constructor(private readonly settings: QuotaSettings) {}

  /** What is known of a tenant that was used lately. */
  find(name: string): TenantAllowance | undefined {
    return this.allowances.get(name);
  }

  /** By the tenant's limit in the route document that the request goes by. */
  of(tenant: Tenant, now: number): TenantAllowance {
    this.forgetIdle(now);
    const known = this.allowances.get(tenant.name);
    if (known?.tenant === tenant) return known;
    const bounds = boundsOf(tenant, this.settings);
    if (known === undefined) return this.add(new TenantAllowance(tenant, bounds));
    known.tenant = tenant;
    known.bounds = bounds;
    return known;
  }

  private add(allowance: TenantAllowance): TenantAllowance {
    this.allowances.set(allowance.tenant.name, allowance);
    return allowance;
  }

  private forgetIdle(now: number): void {
    const { windowMs } = this.settings;
    if (now - this.lastForgottenAt < windowMs * FORGET_WINDOWS) return;
    this.lastForgottenAt = now;
    for (const [name, allowance] of this.allowances) {
      if (allowance.isIdle(now, windowMs * REMEMBERED_WINDOWS)) this.allowances.delete(name);
    }
  }
}
