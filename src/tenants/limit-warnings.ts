/** Logs that tenants have reached their limits, with a bound on the lines per tenant and in total. */
import type { Logger } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';

/** Minimum time between two warnings about one tenant. */
const WARNING_INTERVAL_MS = 60_000;
/** Tenants with a warning per interval; further tenants are not logged. */
const MAXIMUM_TENANTS_PER_INTERVAL = 20;

/** Throttles the warnings about tenants at their limits. */
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
