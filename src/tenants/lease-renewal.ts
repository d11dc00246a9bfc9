/** Sends the confirmation requests that the lease keeper schedules, and feeds it the responses. */
import type { Registry } from 'prom-client';
import { Notifier } from '../consensus/notifier.js';
import type { Logger } from '../observability/logger.js';
import type { RouteTable } from '../routes/route-table.js';
import type { Clock } from '../seams/clock.js';
import type { AuthorizationLease } from './authorization-lease.js';
import type { ConfirmationRequest, LeaseKeeper } from './lease-keeper.js';
import { LeaseMetrics, UNSENT_RENEWAL } from './lease-metrics.js';

/** Dependencies of a {@link LeaseRenewal}. */
export interface LeaseRenewalOptions {
  readonly clock: Clock;
  readonly keeper: LeaseKeeper;
  /** Sends a request to a controller; returns false when no controller is connected. */
  readonly send: (request: ConfirmationRequest) => boolean;
  readonly logger: Logger;
  readonly registry: Registry;
  readonly stopped: AbortSignal;
}

/** Renews the lease of one gateway, and logs and counts its changes. */
export class LeaseRenewal implements AuthorizationLease {
  private readonly wake: Notifier;
  private readonly metrics: LeaseMetrics;
  /** State of the lease in the last log line; undefined while no route needs keys. */
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

  /** Records the route table that has come into force. */
  setRouteTable({ version, needsKeys }: RouteTable): void {
    this.options.keeper.setRouteTable(version, needsKeys);
    this.lastLoggedIsHeld = needsKeys ? (this.lastLoggedIsHeld ?? this.isHeld) : undefined;
    this.wake.notify();
  }

  /** Records that another controller can be reached. */
  handleControllerConnected(): void {
    this.options.keeper.handleControllerConnected();
    this.wake.notify();
  }

  /** Handles a controller's response to the request with that number. */
  handleConfirmation(number: number, version: number): void {
    const result = this.options.keeper.handleConfirmation(number, version);
    this.metrics.renewals.inc({ result });
    this.wake.notify();
  }

  /** Renews the lease until `stopped` is aborted. */
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
    const { isHeld, lastLoggedIsHeld } = this;
    if (lastLoggedIsHeld === undefined || isHeld === lastLoggedIsHeld) return;
    this.lastLoggedIsHeld = isHeld;
    const { logger } = this.options;
    if (isHeld) logger.info('API keys accepted');
    else logger.warn('API keys refused: the route document could not be confirmed');
  }
}
