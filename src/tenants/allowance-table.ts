/** Quota state of recently used tenants at a gateway. Idle tenants are evicted, which bounds the memory. */
import type { QuotaSettings } from '../configuration/tenant-settings.js';
import { computeQuotaBounds } from './quota-bounds.js';
import { TenantAllowance } from './tenant-allowance.js';
import type { Tenant } from './tenant.js';

/** Interval between searches for idle tenants, in windows. */
const EVICTION_INTERVAL_WINDOWS = 4;
/** Time for which a tenant is kept after its last request, in windows. */
const RETENTION_WINDOWS = 2;

/** The allowances of a gateway by tenant name. */
export class AllowanceTable {
  private readonly allowances = new Map<string, TenantAllowance>();
  private lastEvictionAt = -Infinity;

  constructor(private readonly settings: QuotaSettings) {}

  /** The allowance of a recently used tenant; undefined when there is none. */
  find(name: string): TenantAllowance | undefined {
    return this.allowances.get(name);
  }

  /** The allowances of all recently used tenants. */
  values(): Iterable<TenantAllowance> {
    return this.allowances.values();
  }

  /** The tenant's allowance, with the limit of the route document under which its request is handled. */
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
