/** This gateway's share of what all gateways together may use: connections and second sends. */
import type { RouteTable } from '../routes/route-table.js';
import type { Clock } from '../seams/clock.js';
import { coldSlotLength } from './cold-send-slots.js';
import { SecondSendBudget, type SecondSendLimits } from './second-send-budget.js';

/** Taken as the number of gateways while no controller has said it. */
const UNKNOWN_GATEWAYS = 16;
/** Part of a replica's connections that is used; the rest is for gateways not counted yet. */
const USED_PART = 0.9;
/**
 * While young, a gateway leaves room for connections that replicas still hold
 * from its earlier process: one whose machine lost power closed none of them.
 */
const USED_PART_WHILE_YOUNG = 0.4;
const YOUNG_MS = 12_000;
const DEFAULT_CONNECTIONS = 16;
const COUNT_INTERVAL_MS = 100;

/** See the module comment. */
export class FleetShares {
  private readonly budgets = new Map<string, SecondSendBudget>();

  private readonly startedAt: number;
  private counted = UNKNOWN_GATEWAYS;
  private countedAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly limits: SecondSendLimits,
    private readonly countGateways: () => number | undefined,
    /** Whether a young gateway leaves room for connections of its earlier process. */
    private readonly sparesWhileYoung: boolean,
  ) {
    this.startedAt = clock.now();
  }

  /** Most attempts in flight from here to one replica of the service. */
  connectionsFor(table: RouteTable, service: string): number {
    const connections = table.service(service)?.maximumConnections ?? DEFAULT_CONNECTIONS;
    const isYoung = this.clock.now() - this.startedAt < YOUNG_MS;
    const part = isYoung && this.sparesWhileYoung ? USED_PART_WHILE_YOUNG : USED_PART;
    return Math.max(1, Math.floor((connections * part) / this.gateways));
  }

  /** See `ColdSendSlots`; Infinity where cold replicas get as many requests as others. */
  coldSlotLength(table: RouteTable, service: string): number {
    const perSecond = table.service(service)?.coldRequestsPerSecond ?? 0;
    return perSecond > 0 ? coldSlotLength(perSecond, this.gateways) : Infinity;
  }

  /** A request was sent to the service for the first time. */
  noteRequest(service: string): void {
    this.budgetOf(service).noteRequest(this.gateways);
  }

  /** Takes one further sending to the service; false when there is none left. */
  takeSecondSend(service: string): boolean {
    return this.budgetOf(service).take();
  }

  /** Counted again now and then: it is asked for with every sending. */
  private get gateways(): number {
    const now = this.clock.now();
    if (now - this.countedAt >= COUNT_INTERVAL_MS) {
      this.countedAt = now;
      this.counted = Math.max(1, this.countGateways() ?? UNKNOWN_GATEWAYS);
    }
    return this.counted;
  }

  private budgetOf(service: string): SecondSendBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const isOld = this.clock.now() - this.startedAt > this.limits.windowMs;
    const budget = new SecondSendBudget(this.limits, this.gateways, isOld);
    this.budgets.set(service, budget);
    return budget;
  }
}
