/**
 * Enforces the limits of tenants at a gateway: combines the decisions with the connection to the
 * quota owner.
 */
import type { QuotaSettings } from '../configuration/tenant-settings.js';
import type { Telemetry } from '../observability/telemetry.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import type { Environment } from '../seams/environment.js';
import { QuotaClient } from './quota-client.js';
import { QuotaLink } from './quota-link.js';
import { QuotaClientMetrics } from './quota-metrics.js';
import { isLimited } from './tenant.js';
import type { TenantDirectory } from './tenant-directory.js';

/** Dependencies and settings of a {@link GatewayQuota}. */
export interface GatewayQuotaOptions {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly settings: QuotaSettings;
  readonly telemetry: Telemetry;
  /** Number of gateways in the fleet; undefined until a controller has reported it. */
  readonly countGateways: () => number | undefined;
  /** Addresses of the known controllers, as `host:port`. */
  readonly controllers: () => readonly string[];
}

/** Opens no connection until a route document sets a limit for a tenant. */
export class GatewayQuota {
  readonly client: QuotaClient;
  private readonly metrics: QuotaClientMetrics;
  private link: QuotaLink | undefined;
  private isStopped = false;

  constructor(private readonly options: GatewayQuotaOptions) {
    const { environment, settings, countGateways, telemetry } = options;
    this.metrics = new QuotaClientMetrics(
      telemetry.registry,
      () => this.link?.isConnected === true,
    );
    this.client = new QuotaClient({
      clock: environment.clock,
      random: environment.random,
      settings,
      countGateways,
      onRequestQueued: () => this.link?.notify(),
      onDecision: (result) => this.metrics.decisions.inc({ result }),
    });
  }

  /**
   * Opens the connection to the quota owner once the route document in force limits a tenant. Call it
   * with the tenants of each document; undefined when it has none.
   */
  connectIfLimited(directory: TenantDirectory | undefined): void {
    if (this.link !== undefined || this.isStopped || directory === undefined) return;
    if (![...directory.tenants].some(isLimited)) return;
    const { environment, identity, telemetry, controllers } = this.options;
    const { client, metrics } = this;
    const { logger } = telemetry;
    this.link = new QuotaLink({ environment, identity, logger, metrics, client, controllers });
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await this.link?.stop();
  }
}
