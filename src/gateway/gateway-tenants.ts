/**
 * Tenant support of a gateway: the authorization lease for API keys, renewed by the controllers'
 * confirmations, and the gateway's share in enforcing tenant limits.
 */
import type { GatewayConfiguration } from '../configuration/gateway-configuration.js';
import { observe } from '../control-stream/observe.js';
import type { DirectoryClient } from '../directory/directory-client.js';
import type { Telemetry } from '../observability/telemetry.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import type { RouteTable } from '../routes/route-table.js';
import type { Environment } from '../seams/environment.js';
import { UNBOUNDED_LEASE, type AuthorizationLease } from '../tenants/authorization-lease.js';
import { GatewayQuota } from '../tenants/gateway-quota.js';
import { LeaseKeeper } from '../tenants/lease-keeper.js';
import { LeaseRenewal } from '../tenants/lease-renewal.js';
import { UNLIMITED_QUOTA, type TenantQuota } from '../tenants/tenant-quota.js';

/** Settings and collaborators of {@link GatewayTenants}. */
export interface GatewayTenantsOptions {
  readonly environment: Environment;
  readonly settings: GatewayConfiguration['tenants'];
  readonly identity: LocalIdentity;
  readonly telemetry: Telemetry;
  /** Carries the renewal requests to the controllers. */
  readonly client: DirectoryClient;
  /** Aborted when the gateway stops; ends the lease renewal. */
  readonly stopped: AbortSignal;
}

/** Provides the lease and the quota; each admits every request where it is not configured. */
export class GatewayTenants {
  /** Undefined where no time limit for key revocations is configured. */
  private readonly leaseRenewal: LeaseRenewal | undefined;
  /** Undefined where tenant limits are not enforced. */
  private readonly gatewayQuota: GatewayQuota | undefined;

  constructor(private readonly options: GatewayTenantsOptions) {
    this.leaseRenewal = this.createRenewal();
    this.gatewayQuota = this.createQuota();
  }

  /** The lease that the gateway must hold to accept API keys. */
  get lease(): AuthorizationLease {
    return this.leaseRenewal ?? UNBOUNDED_LEASE;
  }

  /** Decides which requests are within their tenant's limit. */
  get quota(): TenantQuota {
    return this.gatewayQuota?.client ?? UNLIMITED_QUOTA;
  }

  /** Subscribes to the controllers' confirmations of lease renewals. Call it once. */
  observeControllers(): void {
    const { followed, confirmations } = this.options.client;
    observe(followed, () => this.leaseRenewal?.handleControllerConnected());
    observe(confirmations, ({ number, version }) =>
      this.leaseRenewal?.handleConfirmation(number, version),
    );
  }

  /** Applies a route table that has come into force: its version, and its tenants' limits. */
  useTable(table: RouteTable): void {
    this.leaseRenewal?.setRouteTable(table);
    this.gatewayQuota?.connectIfLimited(table.tenants);
  }

  /** Renews the lease until the gateway stops. */
  async renewLease(): Promise<void> {
    await this.leaseRenewal?.run();
  }

  /** Closes the connection to the quota owner. */
  async stop(): Promise<void> {
    await this.gatewayQuota?.stop();
  }

  private createRenewal(): LeaseRenewal | undefined {
    const { environment, settings, telemetry, client, stopped } = this.options;
    const { revocationBoundMs: boundMs } = settings;
    if (boundMs === undefined) return undefined;
    const { clock, random } = environment;
    return new LeaseRenewal({
      clock,
      keeper: new LeaseKeeper({ clock, random, boundMs }),
      send: ({ number, unanswered }) => client.requestVersionConfirmation(number, unanswered),
      ...telemetry,
      stopped,
    });
  }

  private createQuota(): GatewayQuota | undefined {
    const { environment, settings, identity, telemetry, client } = this.options;
    if (settings.quota === undefined) return undefined;
    return new GatewayQuota({
      environment,
      identity,
      settings: settings.quota,
      telemetry,
      countGateways: () => client.gateways,
      controllers: () => client.controllerAddresses,
    });
  }
}
