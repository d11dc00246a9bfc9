/**
 * The gateway daemon: forwards callers' HTTP requests to replicas according to the route
 * document, and merges the parts of requests that go to all shards. It stores nothing on disk.
 */
import { Aggregation } from '../aggregation/aggregation.js';
import { observe } from '../control-stream/observe.js';
import type { GatewayConfiguration } from '../configuration/gateway-configuration.js';
import type { DirectoryClient, ReceivedDocument } from '../directory/directory-client.js';
import { DirectoryKind, ReplicaDirectory } from '../directory/replica-directory.js';
import type { Logger } from '../observability/logger.js';
import { UnusableEntries } from '../observability/unusable-entries.js';
import { ZoneTraffic } from '../observability/zone-traffic.js';
import type { Telemetry } from '../observability/telemetry.js';
import type { LocalIdentity } from '../protocol/handshake.js';
import { readRouteDocument } from '../routes/read-route-document.js';
import { RouteTable } from '../routes/route-table.js';
import { formatAddress, type Address } from '../seams/address.js';
import type { Environment } from '../seams/environment.js';
import { chargeProcessor, ProcessorCause } from '../seams/processor-meter.js';
import { settleWithin } from '../seams/settle-within.js';
import type { HttpRequest, HttpResponse, RefusedRequest } from '../seams/http.js';
import { createDirectoryClient } from './create-directory-client.js';
import { createGatewayContext } from './create-gateway-context.js';
import { DEFAULT_EXCHANGE_HEADERS, type ExchangeHeaders } from './exchange-headers.js';
import { EvacuationsInForce } from './evacuations-in-force.js';
import type { GatewayContext } from './gateway-context.js';
import { refuseNotRun } from './gateway-answers.js';
import { GatewayEndpoint } from './gateway-endpoint.js';
import { GatewayTenants } from './gateway-tenants.js';
import { GatewayMaintenance } from './gateway-maintenance.js';
import { GatewayListeners } from './gateway-listeners.js';
import { HealthEndpoint, type HealthSources } from './health-endpoint.js';
import { drainCallers } from './planned-stop.js';
import { ZoneRegions } from './zone-regions.js';

/** A probe that is sent slowly must not hold up a stop. */
const HEALTH_CLOSE_TIMEOUT_MS = 100;

/** One gateway, from {@link GatewayDaemon.start} until {@link GatewayDaemon.stop}. */
export class GatewayDaemon {
  private readonly logger: Logger;
  private readonly directory: ReplicaDirectory;
  private readonly client: DirectoryClient;
  private readonly tenants: GatewayTenants;
  private readonly traffic: ZoneTraffic;
  private readonly context: GatewayContext;
  private readonly endpoint: GatewayEndpoint;
  private readonly aggregation: Aggregation;
  private readonly shutdown = new AbortController();
  private isStopping = false;

  private constructor(
    private readonly environment: Environment,
    private readonly configuration: GatewayConfiguration,
    private readonly telemetry: Telemetry,
    headers: ExchangeHeaders,
    private readonly listeners: GatewayListeners,
  ) {
    const { name } = configuration;
    this.logger = telemetry.logger.child({ gateway: name });
    this.directory = new ReplicaDirectory(environment.clock, DirectoryKind.ReceivesChanges);
    this.traffic = new ZoneTraffic(configuration.zone, telemetry.registry);
    const { directory, logger, identity, traffic } = this;
    this.client = createDirectoryClient({
      environment,
      configuration,
      identity,
      directory,
      unusable: new UnusableEntries({
        clock: environment.clock,
        logger,
        registry: telemetry.registry,
      }),
      logger,
      traffic,
    });
    this.tenants = this.createTenants();
    this.context = this.createContext(headers);
    this.aggregation = this.createAggregation();
    this.endpoint = new GatewayEndpoint(this.context, (request, shards, listener) =>
      this.aggregation.plan(request, shards, listener),
    );
    observe(this.client.documents, (document) =>
      chargeProcessor(environment.processor, ProcessorCause.Configuration, () =>
        this.applyDocument(document),
      ),
    );
    const evacuations = new EvacuationsInForce(this.context, this.logger);
    observe(this.client.evacuations, (evacuation) => evacuations.take(evacuation));
    this.tenants.observeControllers();
    observe(this.client.quarantine, (entry) => this.context.crashGuard.applyEntry(entry));
  }

  /**
   * Starts a gateway that follows the controllers; resolves once it listens. Controllers and other
   * gateways hear of it only then: its predecessor may still drain under the same name.
   *
   * @throws ConnectionError when it cannot listen on one of its addresses.
   */
  static async start(
    environment: Environment,
    configuration: GatewayConfiguration,
    telemetry: Telemetry,
    headers: ExchangeHeaders = DEFAULT_EXCHANGE_HEADERS,
  ): Promise<GatewayDaemon> {
    const { listen, limits } = configuration;
    // Set in the same turn in which the listener for callers opens, before it accepts anyone.
    let daemon: GatewayDaemon | undefined;
    const health = new HealthEndpoint(telemetry.registry, () => daemon?.healthSources);
    const listeners = await GatewayListeners.open(environment.network, listen, {
      callerOptions: { ...limits, onRefused: (refused) => daemon?.noteUnreadRequest(refused) },
      caller: async (request) => (await daemon?.serve(request)) ?? refuseNotRun('starting'),
      health: (request) => health.handle(request),
    });
    try {
      daemon = new GatewayDaemon(environment, configuration, telemetry, headers, listeners);
    } catch (error) {
      await listeners.close();
      throw error;
    }
    daemon.begin();
    return daemon;
  }

  /** Address on which the gateway accepts callers. */
  get address(): Address {
    return this.listeners.callers.address;
  }

  /** Number of controllers to which a stream is open. */
  get followedControllers(): number {
    return this.client.openLinks;
  }

  /** Replaces the seed controllers; the gateway may also follow controllers that the seeds name. */
  useControllers(addresses: readonly Address[]): void {
    this.client.setSeeds(addresses.map(formatAddress));
  }

  /**
   * Planned stop. The gateway reports not ready at once, so that callers are sent to other
   * gateways, but keeps serving new requests for a while; then it closes idle connections and
   * answers the requests in flight. A second call returns at once.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const { clock } = this.environment;
    const { stopGraceMs } = this.configuration;
    this.logger.info('gateway stopping', { inFlight: this.inFlight });
    this.aggregation.stopAccepting();
    await drainCallers({
      clock,
      graceMs: stopGraceMs,
      drain: this.context.drain,
      inFlight: () => this.inFlight,
      closeListener: () => this.listeners.callers.close(),
    });
    await this.release();
    const { refused, unanswered } = this.context.drain;
    this.logger.info('gateway stopped', { inFlight: this.inFlight, refused, unanswered });
  }

  /** Closes everything but the listener for callers, which a planned stop drains first. */
  private async release(): Promise<void> {
    const { clock } = this.environment;
    this.shutdown.abort(new Error('stopped'));
    await settleWithin(clock, this.listeners.health.close(), HEALTH_CLOSE_TIMEOUT_MS);
    this.context.crashGuard.stop();
    await this.client.stop();
    await this.tenants.stop();
    await this.aggregation.close();
    this.context.targets.stop();
  }

  /** Number of unanswered requests from callers and other gateways. */
  private get inFlight(): number {
    return this.endpoint.inFlight + this.aggregation.inProgress;
  }

  private get identity(): LocalIdentity {
    const { name, cluster } = this.configuration;
    return { clusterId: cluster.id, clusterKey: cluster.key, name };
  }

  private createAggregation(): Aggregation {
    return new Aggregation({
      context: this.context,
      identity: this.identity,
      zone: this.configuration.zone,
      settings: this.configuration.aggregation,
      secondSends: this.configuration.secondSends,
      telemetry: { ...this.telemetry, logger: this.logger },
      leaves: () => this.client.knownGateways,
      table: () => this.endpoint.table,
      stopped: this.shutdown.signal,
    });
  }

  private createTenants(): GatewayTenants {
    return new GatewayTenants({
      environment: this.environment,
      settings: this.configuration.tenants,
      identity: this.identity,
      telemetry: { ...this.telemetry, logger: this.logger },
      client: this.client,
      stopped: this.shutdown.signal,
    });
  }

  private createContext(headers: ExchangeHeaders): GatewayContext {
    const { mechanisms, placement, secondSends, zone, region, zones } = this.configuration;
    return createGatewayContext({
      name: this.configuration.name,
      environment: this.environment,
      headers,
      telemetry: { ...this.telemetry, logger: this.logger },
      traffic: this.traffic,
      directory: this.directory,
      mechanisms,
      placement: { zone, ...placement },
      regions: new ZoneRegions(zones, { zone, region }),
      secondSends,
      lease: this.tenants.lease,
      quota: this.tenants.quota,
      countGateways: () => this.client.gateways,
      reportEvidence: (change) => this.client.reportCrashEvidence(change),
    });
  }

  private begin(): void {
    const { messages } = this.listeners;
    if (messages !== undefined) this.aggregation.serve(messages);
    this.aggregation.start();
    void this.tenants.renewLease();
    this.startMaintenance();
    this.environment.processor?.endStart();
    this.logger.info('gateway listening', { http: formatAddress(this.address) });
  }

  private startMaintenance(): void {
    const { context, directory, aggregation, endpoint, logger } = this;
    const stopped = this.shutdown.signal;
    new GatewayMaintenance({ context, directory, aggregation, endpoint, logger, stopped }).start();
  }

  private get healthSources(): HealthSources {
    return {
      isStopping: () => this.isStopping,
      hasRoutes: () => this.endpoint.table !== undefined,
      isFresh: () => this.client.isFresh,
      acceptsKeys: () => this.endpoint.table?.needsKeys !== true || this.context.lease.isHeld,
    };
  }

  private noteUnreadRequest(refused: RefusedRequest): void {
    const { metrics, decisions } = this.context;
    metrics.requests.inc({ status: String(refused.status) });
    decisions.logNotRead(refused);
  }

  private async serve(request: HttpRequest): Promise<HttpResponse> {
    const response = await this.endpoint.handle(request);
    if (!this.isStopping) return response;
    return { ...response, headers: { ...response.headers, connection: 'close' } };
  }

  private applyDocument({ version, content, controller }: ReceivedDocument): void {
    const { clock } = this.environment;
    const startedAt = clock.now();
    try {
      const table = new RouteTable(readRouteDocument(content), this.endpoint.table);
      this.endpoint.useTable(table);
      this.tenants.useTable(table);
      this.listeners.callers.setIdleTimeout(table.limits.idleTimeoutMs);
      this.context.metrics.routeVersion.set(version);
      const tookMs = clock.now() - startedAt;
      this.context.metrics.routeDocumentSeconds.observe(tookMs / 1_000);
      this.logger.info('route document in force', {
        version,
        controller,
        tookMs: Math.round(tookMs),
      });
    } catch (error) {
      this.logger.error('route document not understood', { version, reason: String(error) });
    }
  }
}
