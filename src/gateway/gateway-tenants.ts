/**
 * What a gateway needs for requests of tenants: its lease to accept API keys, renewed by what the
 * controllers answer, and its part in the limits of the tenants.
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

/** What it is made of. */
export interface GatewayTenantsOptions {
  readonly environment: Environment;
  readonly settings: GatewayConfiguration['tenants'];
  readonly identity: LocalIdentity;
  readonly telemetry: Telemetry;
  /** By which the controllers are asked. */
  readonly client: DirectoryClient;
  /** Ends the renewal of the lease. */
  readonly stopped: AbortSignal;
}

/** See the module comment. */
export class GatewayTenants {
  /** Absent where the time of a revocation is not bounded. */
  private readonly leaseRenewal: LeaseRenewal | undefined;
  /** Absent where the limits of tenants are not kept. */
  private readonly gatewayQuota: GatewayQuota | undefined;

  constructor(private readonly options: GatewayTenantsOptions) {
    this.leaseRenewal = this.createRenewal();
    this.gatewayQuota = this.createQuota();
  }

  /** The right to accept API keys. */
  get lease(): AuthorizationLease {
    return this.leaseRenewal ?? UNBOUNDED_LEASE;
  }

  /** Decides which requests of tenants are passed on. */
  get quota(): TenantQuota {
    return this.gatewayQuota?.client ?? UNLIMITED_QUOTA;
  }

  /** Takes from now on what the controllers answer to the renewal of the lease. */
  observeControllers(): void {
    const { followed, confirmations } = this.options.client;
    observe(followed, () => this.leaseRenewal?.handleControllerConnected());
    observe(confirmations, ({ number, version }) =>
      this.leaseRenewal?.handleConfirmation(number, version),
    );
  }

  /** A table has come into force. */
  useTable(table: RouteTable): void {
    this.leaseRenewal?.setRouteTable(table);
    this.gatewayQuota?.connectIfLimited(table.tenants);
  }

  /** Renews the lease until stopped. */
  async renewLease(): Promise<void> {
    await this.leaseRenewal?.run();
  }

  /** Closes the connection to the owner of the limits. */
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
      send: ({ number, unanswered }) => client.askVersion(number, unanswered),
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
