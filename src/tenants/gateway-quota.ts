/** The limits of tenants at a gateway: its decisions, and its connection to the owner. */
import type { QuotaSettings } from '../configuration/tenant-settings.js';
import type { Telemetry } from '../observability/telemetry.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import type { Environment } from '../seams/environment.js';
import { QuotaClient } from './quota-client.js';
import { QuotaLink } from './quota-link.js';
import { QuotaClientMetrics } from './quota-metrics.js';
import { isLimited } from './tenant.js';
import type { TenantDirectory } from './tenant-directory.js';

/** What it is made of. */
export interface GatewayQuotaOptions {
  readonly environment: Environment;
  readonly identity: LocalIdentity;
  readonly settings: QuotaSettings;
  readonly telemetry: Telemetry;
  /** Gateways of the fleet; undefined while no controller has said it. */
  readonly countGateways: () => number | undefined;
  /** `host:port` of the controllers that are known. */
  readonly controllers: () => readonly string[];
}

/** See the module comment. No connection is opened before a route document limits a tenant. */
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

  /** The tenants of the route document in force. */
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
