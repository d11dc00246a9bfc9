/** What a gateway knows of the tenants that were used lately; bounded by those in use. */
import type { QuotaSettings } from '../configuration/tenant-settings.js';
import { computeQuotaBounds } from './quota-bounds.js';
import { TenantAllowance } from './tenant-allowance.js';
import type { Tenant } from './tenant.js';

/** How often idle tenants are looked for, in windows. */
const EVICTION_INTERVAL_WINDOWS = 4;
/** For how long after its last request a tenant is remembered, in windows. */
const RETENTION_WINDOWS = 2;

/** See the module comment. */
export class AllowanceTable {
  private readonly allowances = new Map<string, TenantAllowance>();
  private lastEvictionAt = -Infinity;

  constructor(private readonly settings: QuotaSettings) {}

  /** What is known of a tenant that was used lately. */
  find(name: string): TenantAllowance | undefined {
    return this.allowances.get(name);
  }

  /** By the tenant's limit in the route document that the request goes by. */
  getOrCreate(tenant: Tenant, now: number): TenantAllowance {
    this.evictIdle(now);
    const known = this.allowances.get(tenant.name);
    if (known?.tenant === tenant) return known;
    const bounds = computeQuotaBounds(tenant, this.settings);
    if (known === undefined) return this.add(new TenantAllowance(tenant, bounds));
    known.tenant = tenant;
    known.bounds = bounds;
    return known;
  }

  private add(allowance: TenantAllowance): TenantAllowance {
    this.allowances.set(allowance.tenant.name, allowance);
    return allowance;
  }

  private evictIdle(now: number): void {
    const { windowMs } = this.settings;
    if (now - this.lastEvictionAt < windowMs * EVICTION_INTERVAL_WINDOWS) return;
    this.lastEvictionAt = now;
    for (const [name, allowance] of this.allowances) {
      if (allowance.isIdle(now, windowMs * RETENTION_WINDOWS)) this.allowances.delete(name);
    }
  }
}
