/** Asks controllers as the lease keeper decides, and tells it what they answer. */
import type { Registry } from 'prom-client';
import { Notifier } from '../consensus/notifier.js';
import type { Logger } from '../observability/logger.js';
import type { RouteTable } from '../routes/route-table.js';
import type { Clock } from '../seams/clock.js';
import type { AuthorizationLease } from './authorization-lease.js';
import type { LeaseAsk, LeaseKeeper } from './lease-keeper.js';
import { LeaseMetrics, UNSENT_RENEWAL } from './lease-metrics.js';

/** What a renewal works with. */
export interface LeaseRenewalParts {
  readonly clock: Clock;
  readonly keeper: LeaseKeeper;
  /** Sends an ask to a controller; false when none is followed. */
  readonly send: (ask: LeaseAsk) => boolean;
  readonly logger: Logger;
  readonly registry: Registry;
  readonly stopped: AbortSignal;
}

/** See the module comment. */
export class LeaseRenewal implements AuthorizationLease {
  private readonly wake: Notifier;
  private readonly metrics: LeaseMetrics;
  /** As the last line said it; undefined while keys are not needed. */
  private wasHeld: boolean | undefined;

  constructor(private readonly parts: LeaseRenewalParts) {
    this.wake = new Notifier(parts.clock);
    this.metrics = new LeaseMetrics(parts.registry, () => this.isHeld);
  }

  get isHeld(): boolean {
    return this.parts.keeper.isHeld;
  }

  get retryAfterMs(): number {
    return this.parts.keeper.retryAfterMs;
  }

  /** A table has come into force. */
  useTable({ version, needsKeys }: RouteTable): void {
    this.parts.keeper.useTable(version, needsKeys);
    this.wasHeld = needsKeys ? (this.wasHeld ?? this.isHeld) : undefined;
    this.wake.notify();
  }

  /** One more controller can be asked. */
  noteFollowed(): void {
    this.parts.keeper.noteFollowed();
    this.wake.notify();
  }

  /** A controller has answered the ask of the number. */
  takeAnswer(number: number, version: number): void {
    const result = this.parts.keeper.takeAnswer(number, version);
    this.metrics.renewals.inc({ result });
    this.wake.notify();
  }

  /** Renews the lease until stopped. */
  async run(): Promise<void> {
    const { keeper, stopped } = this.parts;
    stopped.addEventListener('abort', () => this.wake.close());
    while (!stopped.aborted) {
      this.noteState();
      if (keeper.askDueInMs <= 0) this.ask();
      const untilEnd = keeper.isHeld ? keeper.endsInMs : Infinity;
      await this.wake.wait(Math.min(keeper.askDueInMs, untilEnd));
    }
  }

  private ask(): void {
    const { keeper, send } = this.parts;
    const ask = keeper.beginAsk();
    if (send(ask)) return;
    keeper.noteUnsent(ask);
    this.metrics.renewals.inc({ result: UNSENT_RENEWAL });
  }

  private noteState(): void {
    const { isHeld, wasHeld } = this;
    if (wasHeld === undefined || isHeld === wasHeld) return;
    this.wasHeld = isHeld;
    const { logger } = this.parts;
    if (isHeld) logger.info('API keys accepted');
    else logger.warn('API keys refused: the route document could not be confirmed');
  }
}
