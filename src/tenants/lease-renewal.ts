/** Asks controllers as the lease keeper decides, and tells it what they answer. */
import type { Registry } from 'prom-client';
import { Notifier } from '../consensus/notifier.js';
import type { Logger } from '../observability/logger.js';
import type { RouteTable } from '../routes/route-table.js';
import type { Clock } from '../seams/clock.js';
import type { AuthorizationLease } from './authorization-lease.js';
import type { ConfirmationRequest, LeaseKeeper } from './lease-keeper.js';
import { LeaseMetrics, UNSENT_RENEWAL } from './lease-metrics.js';

/** What a renewal works with. */
export interface LeaseRenewalOptions {
  readonly clock: Clock;
  readonly keeper: LeaseKeeper;
  /** Sends an ask to a controller; false when none is followed. */
  readonly send: (ask: ConfirmationRequest) => boolean;
  readonly logger: Logger;
  readonly registry: Registry;
  readonly stopped: AbortSignal;
}

/** See the module comment. */
export class LeaseRenewal implements AuthorizationLease {
  private readonly wake: Notifier;
  private readonly metrics: LeaseMetrics;
  /** As the last line said it; undefined while keys are not needed. */
  private lastLoggedIsHeld: boolean | undefined;

  constructor(private readonly options: LeaseRenewalOptions) {
    this.wake = new Notifier(options.clock);
    this.metrics = new LeaseMetrics(options.registry, () => this.isHeld);
  }

  get isHeld(): boolean {
    return this.options.keeper.isHeld;
  }

  get retryAfterMs(): number {
    return this.options.keeper.retryAfterMs;
  }

  /** A table has come into force. */
  setRouteTable({ version, needsKeys }: RouteTable): void {
    this.options.keeper.setRouteTable(version, needsKeys);
    this.lastLoggedIsHeld = needsKeys ? (this.lastLoggedIsHeld ?? this.isHeld) : undefined;
    this.wake.notify();
  }

  /** One more controller can be asked. */
  handleControllerConnected(): void {
    this.options.keeper.handleControllerConnected();
    this.wake.notify();
  }

  /** A controller has answered the ask of the number. */
  handleConfirmation(number: number, version: number): void {
    const result = this.options.keeper.handleConfirmation(number, version);
    this.metrics.renewals.inc({ result });
    this.wake.notify();
  }

  /** Renews the lease until stopped. */
  async run(): Promise<void> {
    const { keeper, stopped } = this.options;
    stopped.addEventListener('abort', () => this.wake.close());
    while (!stopped.aborted) {
      this.logStateChange();
      if (keeper.requestDueInMs <= 0) this.sendRequest();
      const untilExpiryMs = keeper.isHeld ? keeper.expiresInMs : Infinity;
      await this.wake.wait(Math.min(keeper.requestDueInMs, untilExpiryMs));
    }
  }

  private sendRequest(): void {
    const { keeper, send } = this.options;
    const request = keeper.beginRequest();
    if (send(request)) return;
    keeper.recordUnsent(request);
    this.metrics.renewals.inc({ result: UNSENT_RENEWAL });
  }

  private logStateChange(): void {
    const { isHeld, lastLoggedIsHeld: wasHeld } = this;
    if (wasHeld === undefined || isHeld === wasHeld) return;
    this.lastLoggedIsHeld = isHeld;
    const { logger } = this.options;
    if (isHeld) logger.info('API keys accepted');
    else logger.warn('API keys refused: the route document could not be confirmed');
  }
}
