/** Writes that tenants have reached their limits: each now and then, and few lines in all. */
import type { Logger } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';

/** Between two lines about a tenant. Milliseconds. */
const WARNING_INTERVAL_MS = 60_000;
/** Tenants that are written about in that time; of others nothing is written. */
const MAXIMUM_TENANTS_PER_INTERVAL = 20;

/** See the module comment. */
export class LimitWarnings {
  private readonly loggedAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  warn(tenant: string): void {
    const now = this.clock.now();
    if (now - (this.loggedAt.get(tenant) ?? -Infinity) < WARNING_INTERVAL_MS) return;
    this.evictExpired(now);
    if (this.loggedAt.size >= MAXIMUM_TENANTS_PER_INTERVAL) return;
    this.loggedAt.set(tenant, now);
    this.logger.warn('tenant has reached its limit', { tenant });
  }

  private evictExpired(now: number): void {
    for (const [tenant, loggedAt] of this.loggedAt) {
      if (now - loggedAt >= WARNING_INTERVAL_MS) this.loggedAt.delete(tenant);
    }
  }
}
