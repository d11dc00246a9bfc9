/** This gateway's share of what all gateways together may use: connections and second sends. */
import type { RouteTable } from '../routes/route-table.js';
import type { Clock } from '../seams/clock.js';
import { coldSendInterval } from './cold-send-limiter.js';
import { ExtraAttemptBudget, type ExtraAttemptLimits } from './extra-attempt-budget.js';

/** Taken as the number of gateways while no controller has said it. */
const DEFAULT_GATEWAYS = 16;
/** Part of a replica's connections that is used; the rest is for gateways not counted yet. */
const USED_FRACTION = 0.9;
/**
 * While young, a gateway leaves room for connections that replicas still hold
 * from its earlier process: one whose machine lost power closed none of them.
 */
const STARTUP_USED_FRACTION = 0.4;
const STARTUP_MS = 12_000;
const DEFAULT_CONNECTIONS = 16;
const COUNT_INTERVAL_MS = 100;

/** See the module comment. */
export class FleetShares {
  private readonly budgets = new Map<string, ExtraAttemptBudget>();

  private readonly startedAt: number;
  private gatewayCount = DEFAULT_GATEWAYS;
  private countedAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly limits: ExtraAttemptLimits,
    private readonly countGateways: () => number | undefined,
    /** Whether a young gateway leaves room for connections of its earlier process. */
    private readonly reservesAtStartup: boolean,
  ) {
    this.startedAt = clock.now();
  }

  /** Most attempts in flight from here to one replica of the service. */
  maximumInFlight(table: RouteTable, service: string): number {
    const connections = table.service(service)?.maximumConnections ?? DEFAULT_CONNECTIONS;
    const isStarting = this.clock.now() - this.startedAt < STARTUP_MS;
    const fraction = isStarting && this.reservesAtStartup ? STARTUP_USED_FRACTION : USED_FRACTION;
    return Math.max(1, Math.floor((connections * fraction) / this.gateways));
  }

  /** See `ColdSendSlots`; Infinity where cold replicas get as many requests as others. */
  coldSendInterval(table: RouteTable, service: string): number {
    const perSecond = table.service(service)?.coldRequestsPerSecond ?? 0;
    return perSecond > 0 ? coldSendInterval(perSecond, this.gateways) : Infinity;
  }

  /** A request was sent to the service for the first time. */
  recordRequest(service: string): void {
    this.budgetOf(service).recordRequest(this.gateways);
  }

  /** Takes one further sending to the service; false when there is none left. */
  takeExtraAttempt(service: string): boolean {
    return this.budgetOf(service).take();
  }

  /** Counted again now and then: it is asked for with every sending. */
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
