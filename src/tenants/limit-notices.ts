/** Writes that tenants have reached their limits: each now and then, and few lines in all. */
import type { Logger } from '../observability/logger.js';
import type { Clock } from '../seams/clock.js';

/** Between two lines about a tenant. Milliseconds. */
const INTERVAL_MS = 60_000;
/** Tenants that are written about in that time; of others nothing is written. */
const MAXIMUM_TENANTS = 20;

/** See the module comment. */
export class LimitNotices {
  private readonly writtenAt = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  note(tenant: string): void {
    const now = this.clock.now();
    if (now - (this.writtenAt.get(tenant) ?? -Infinity) < INTERVAL_MS) return;
    this.forgetOld(now);
    if (this.writtenAt.size >= MAXIMUM_TENANTS) return;
    this.writtenAt.set(tenant, now);
    this.logger.warn('tenant has reached its limit', { tenant });
  }

  private forgetOld(now: number): void {
    for (const [tenant, writtenAt] of this.writtenAt) {
      if (now - writtenAt >= INTERVAL_MS) this.writtenAt.delete(tenant);
    }
  }
}
