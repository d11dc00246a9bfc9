/** The router daemon: serves callers, queries back ends and applies configuration revisions. */
import { createAdapter } from '@most/adapter';
import { runEffects, tap, until } from '@most/core';
import type { Stream } from '@most/types';
import type { Registry } from 'prom-client';
import type { RouterConfiguration } from '../configuration/router-configuration.js';
import { ReplicaRegistry } from '../membership/replica-registry.js';
import type { Logger } from '../observability/logger.js';
import { formatAddress, type Address } from '../seams/address.js';
import type { Environment } from '../seams/environment.js';
import type { HttpListener, HttpRequest, HttpResponse } from '../seams/http.js';
import type { ConfigurationSource } from '../settings/configuration-source.js';
import type { ConfigurationState } from '../settings/configuration-state.js';
import { createClockScheduler } from './clock-scheduler.js';
import {
  withConnectionClose,
  methodNotAllowed,
  pathNotFound,
  textResponse,
} from './http-responses.js';
import { IdentifierSequence } from './identifier-sequence.js';
import { InFlightQueries } from './in-flight-queries.js';
import { REQUEST_IDS_PER_OUTCOME, MAXIMUM_OUTCOME_BYTES, OutcomeStore } from './outcome-store.js';
import { QueryEndpoint } from './query-endpoint.js';
import { parseServiceName } from './query-parser.js';
import type { RouterContext } from './router-context.js';
import { NO_ROUTER_FAULTS, type RouterFaults } from './router-faults.js';
import { RouterMetrics } from './router-metrics.js';
import { RouterReadiness } from './router-readiness.js';
import { ServiceDirectory } from './service-directory.js';

/** Destinations of a daemon's log lines and metrics. */
export interface RouterTelemetry {
  readonly logger: Logger;
  readonly registry: Registry;
}

/**
 * Minimum time between readiness turning false and the listener's close. Longer than the 5 s for
 * which a caller's connection may be idle: every response during this time closes its
 * connection, so that afterwards none is left on which a caller could be sending a
 * request. Milliseconds.
 */
export const STOP_NOTICE_MS = 5_500;

/** A running router; it stops when {@link RouterDaemon.stop} is called. */
export class RouterDaemon {
  private readonly context: RouterContext;
  private readonly directory: ServiceDirectory;
  private readonly readiness: RouterReadiness;
  private readonly inFlight = new InFlightQueries();
  private readonly endpoint: QueryEndpoint;
  private readonly logger: Logger;
  private readonly endSubscriptions: (event: undefined) => void;
  private readonly subscriptionsEnd: Stream<undefined>;
  private stopped: Promise<void> | undefined;

  private constructor(
    environment: Environment,
    private readonly configuration: RouterConfiguration,
    private readonly source: ConfigurationSource,
    private readonly telemetry: RouterTelemetry,
    private readonly listener: HttpListener,
    faults: RouterFaults,
  ) {
    const { name, limits, zone } = configuration;
    [this.endSubscriptions, this.subscriptionsEnd] = createAdapter<undefined>();
    this.logger = telemetry.logger.child({ router: name });
    const registry = new ReplicaRegistry(environment, {
      observer: name,
      maximumReplyBytes: limits.maximumReplyBytes,
      logger: this.logger,
      faults,
    });
    this.context = {
      environment,
      registry,
      identifiers: new IdentifierSequence(name, environment.random),
      metrics: new RouterMetrics(telemetry.registry),
      faults,
    };
    this.directory = new ServiceDirectory(environment, registry, zone);
    this.readiness = new RouterReadiness(source, this.logger);
    this.endpoint = this.createEndpoint();
  }

  /**
   * Starts a router that listens and applies the revisions of `source`. The caller remains
   * responsible for closing `source`.
   *
   * @throws ConnectionError when the listener cannot be opened.
   */
  static start(
    environment: Environment,
    configuration: RouterConfiguration,
    source: ConfigurationSource,
    telemetry: RouterTelemetry,
    faults: RouterFaults = NO_ROUTER_FAULTS,
  ): Promise<RouterDaemon> {
    return RouterDaemon.startWith(environment, configuration, () => source, telemetry, faults);
  }

  /**
   * As {@link RouterDaemon.start}, with a source that is connected only once the router listens:
   * until then its predecessor may follow a controller under the same name.
   */
  static async startWith(
    environment: Environment,
    configuration: RouterConfiguration,
    connectSource: () => ConfigurationSource,
    telemetry: RouterTelemetry,
    faults: RouterFaults = NO_ROUTER_FAULTS,
  ): Promise<RouterDaemon> {
    const { limits, listen } = configuration;
    // Set in the same turn in which the listener opens, before it accepts anyone.
    let daemon: RouterDaemon | undefined;
    const listener = await environment.network.listenHttp(
      listen.http,
      limits,
      async (request) => (await daemon?.handleRequest(request)) ?? textResponse(503, 'starting\n'),
    );
    const source = connectSource();
    try {
      daemon = new RouterDaemon(environment, configuration, source, telemetry, listener, faults);
    } catch (error) {
      await listener.close();
      throw error;
    }
    daemon.begin();
    return daemon;
  }

  /** Address of the HTTP listener. */
  get address(): Address {
    return this.listener.address;
  }

  /**
   * Drains and stops the router: it refuses new queries, answers every query in flight and
   * closes connections as they become idle. Further calls return the same promise.
   */
  stop(): Promise<void> {
    this.stopped ??= this.shutDown();
    return this.stopped;
  }

  private createEndpoint(): QueryEndpoint {
    const outcomes = this.configuration.limits.maximumRecordedOutcomes;
    const outcomeStore = new OutcomeStore(this.context.environment.clock, {
      outcomes,
      requestIds: outcomes * REQUEST_IDS_PER_OUTCOME,
      bytes: MAXIMUM_OUTCOME_BYTES,
    });
    return new QueryEndpoint({
      router: this.context,
      directory: this.directory,
      readiness: this.readiness,
      outcomeStore,
      inFlight: this.inFlight,
      logger: this.logger,
    });
  }

  private begin(): void {
    this.logger.info('router listening', { http: formatAddress(this.address) });
    const { registry } = this.context;
    this.subscribe(this.source.revisions, (state) => this.applyRevision(state));
    this.subscribe(this.source.livenessReports, (report) => registry.applyLivenessReport(report));
    this.subscribe(registry.ownLivenessReports, (report) => this.source.reportReplicaState(report));
    const current = this.source.current();
    if (current !== undefined) this.applyRevision(current);
  }

  private subscribe<T>(stream: Stream<T>, consume: (value: T) => void): void {
    const scheduler = createClockScheduler(this.context.environment.clock);
    const untilStopped = until(this.subscriptionsEnd, stream);
    runEffects(tap(consume, untilStopped), scheduler).catch((error: unknown) => {
      this.logger.error('subscription failed', { reason: String(error) });
    });
  }

  private applyRevision(state: ConfigurationState): void {
    const isFirst = this.directory.revision === undefined;
    this.directory.apply(state);
    this.readiness.markConfigured();
    if (isFirst) void this.becomeReady(state.revision);
  }

  private async becomeReady(revision: number): Promise<void> {
    await this.context.registry.firstReports();
    this.readiness.markReplicasPolled();
    if (!this.readiness.isStopping) this.logger.info('router ready', { revision });
  }

  private async handleRequest(request: HttpRequest): Promise<HttpResponse> {
    const response = await this.respond(request);
    return this.readiness.isStopping ? withConnectionClose(response) : response;
  }

  private async respond(request: HttpRequest): Promise<HttpResponse> {
    const { method, path } = request;
    const service = parseServiceName(path);
    if (service !== undefined && method === 'POST') return this.endpoint.handle(request, service);
    if (path === '/livez') return textResponse(200, 'live\n');
    if (path === '/readyz') return this.respondReadiness();
    if (path === '/metrics') return this.respondMetrics();
    return service === undefined ? pathNotFound() : methodNotAllowed();
  }

  private respondReadiness(): HttpResponse {
    const reason = this.readiness.notReadyReason();
    return reason === undefined ? textResponse(200, 'ready\n') : textResponse(503, `${reason}\n`);
  }

  private async respondMetrics(): Promise<HttpResponse> {
    const { registry } = this.telemetry;
    return textResponse(200, await registry.metrics(), registry.contentType);
  }

  private async shutDown(): Promise<void> {
    this.readiness.markStopping();
    this.logger.info('router stopping', { inFlight: this.inFlight.size });
    if (this.context.faults.cutInFlightAtStop) this.inFlight.cancelAll();
    await this.context.environment.clock.sleep(STOP_NOTICE_MS);
    await this.inFlight.whenDrained();
    await this.listener.close();
    this.endSubscriptions(undefined);
    await this.context.registry.stop();
    this.logger.info('router stopped');
  }
}
