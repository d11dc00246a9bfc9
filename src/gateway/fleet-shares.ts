/**
 * Computes this gateway's share of fleet-wide limits: connections, cold sends, and extra attempts.
 */
import type { RouteTable } from '../routes/route-table.js';
import type { Clock } from '../seams/clock.js';
import { coldSendInterval } from './cold-send-limiter.js';
import { ExtraAttemptBudget, type ExtraAttemptLimits } from './extra-attempt-budget.js';

/** Assumed number of gateways until a controller reports it. */
const DEFAULT_GATEWAYS = 16;
/** Fraction of a replica's connections in use; the rest is for gateways not counted yet. */
const USED_FRACTION = 0.9;
/**
 * Fraction in use after the start of the process, because replicas may still hold connections of
 * the previous process: one whose machine lost power closed none of them.
 */
const STARTUP_USED_FRACTION = 0.4;
const STARTUP_MS = 12_000;
const DEFAULT_CONNECTIONS = 16;
const COUNT_INTERVAL_MS = 100;

/** Shares of one gateway process. */
export class FleetShares {
  private readonly budgets = new Map<string, ExtraAttemptBudget>();

  private readonly startedAt: number;
  private gatewayCount = DEFAULT_GATEWAYS;
  private countedAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly limits: ExtraAttemptLimits,
    private readonly countGateways: () => number | undefined,
    /** Whether connections of the previous process are allowed for after the start. */
    private readonly reservesAtStartup: boolean,
  ) {
    this.startedAt = clock.now();
  }

  /** Maximum number of attempts in flight from this gateway to one replica of the service. */
  maximumInFlight(table: RouteTable, service: string): number {
    const connections = table.service(service)?.maximumConnections ?? DEFAULT_CONNECTIONS;
    const isStarting = this.clock.now() - this.startedAt < STARTUP_MS;
    const fraction = isStarting && this.reservesAtStartup ? STARTUP_USED_FRACTION : USED_FRACTION;
    return Math.max(1, Math.floor((connections * fraction) / this.gateways));
  }

  /** Interval for `ColdSendLimiter` in milliseconds; Infinity if cold replicas are not limited. */
  coldSendInterval(table: RouteTable, service: string): number {
    const perSecond = table.service(service)?.coldRequestsPerSecond ?? 0;
    return perSecond > 0 ? coldSendInterval(perSecond, this.gateways) : Infinity;
  }

  /** Records the first attempt of a request to the service. */
  recordRequest(service: string): void {
    this.budgetOf(service).recordRequest(this.gateways);
  }

  /** Takes one extra attempt from the service's budget; false if none is left. */
  takeExtraAttempt(service: string): boolean {
    return this.budgetOf(service).take();
  }

  /** Number of gateways, cached because every attempt reads it. */
  private get gateways(): number {
    const now = this.clock.now();
    if (now - this.countedAt >= COUNT_INTERVAL_MS) {
      this.countedAt = now;
      this.gatewayCount = Math.max(1, this.countGateways() ?? DEFAULT_GATEWAYS);
    }
    return this.gatewayCount;
  }

  private budgetOf(service: string): ExtraAttemptBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const isProcessOld = this.clock.now() - this.startedAt > this.limits.windowMs;
    const budget = new ExtraAttemptBudget(this.limits, this.gateways, isProcessOld);
    this.budgets.set(service, budget);
    return budget;
  }
}
