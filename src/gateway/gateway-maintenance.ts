/**
 * Background tasks of a gateway: warms connections, drops silent replicas, measures the lag of timers,
 * logs zone traffic.
 */
import type { Aggregation } from '../aggregation/aggregation.js';
import type { ReplicaDirectory } from '../directory/replica-directory.js';
import type { Logger } from '../observability/logger.js';
import { logZoneTraffic } from '../observability/zone-traffic-log.js';
import { sleepUntilTick } from '../seams/sleep-until-tick.js';
import { AddressChecker } from './address-checker.js';
import { keepConnectionsWarm } from './connection-warmer.js';
import { measureTimerLag } from './timer-lag-probe.js';
import type { GatewayContext } from './gateway-context.js';
import type { GatewayEndpoint } from './gateway-endpoint.js';

/**
 * Before the first route table shows which replicas this gateway sends to, connections are warmed
 * only if the gateway knows at most this many replicas.
 */
const MAXIMUM_REPLICAS_WARMED_WITHOUT_ROUTES = 128;
const DEFAULT_HEALTH_PATH = '/health';
/** Interval between checks for silent replicas. */
const FORGET_INTERVAL_MS = 500;

/** Collaborators of {@link GatewayMaintenance}. */
export interface GatewayMaintenanceOptions {
  readonly context: GatewayContext;
  readonly directory: ReplicaDirectory;
  readonly aggregation: Aggregation;
  readonly endpoint: GatewayEndpoint;
  readonly logger: Logger;
  readonly stopped: AbortSignal;
}

/** Starts the background tasks; each ends by itself when the gateway stops. */
export class GatewayMaintenance {
  constructor(private readonly options: GatewayMaintenanceOptions) {}

  /** Starts all tasks; they run until `stopped` is aborted. */
  start(): void {
    const { context, logger, stopped } = this.options;
    const { environment, mechanisms, traffic, answerMargin } = context;
    const { clock } = environment;
    void this.forgetSilent();
    void this.checkAddresses();
    void logZoneTraffic({ clock, logger, traffic, stopped });
    void measureTimerLag(clock, answerMargin, stopped);
    if (mechanisms.warmConnections) void this.keepWarm();
  }

  private keepWarm(): Promise<void> {
    const { context, aggregation, stopped } = this.options;
    const { clock, random, processor } = context.environment;
    return keepConnectionsWarm({
      clock,
      random,
      processor,
      targets: () => aggregation.preferredTargets(),
      shouldKeepWarm: (service) => this.shouldKeepWarm(service),
      warmupHeader: context.headers.warmup,
      healthPath: (service) => this.healthPath(service),
      stopped,
    });
  }

  private checkAddresses(): Promise<void> {
    const { context, logger, stopped } = this.options;
    const { environment, headers, metrics, targets } = context;
    const checker = new AddressChecker({
      clock: environment.clock,
      targets,
      sendsTo: (service) => this.sendsTo(service),
      healthPath: (service) => this.healthPath(service),
      replicaIdHeader: headers.replicaId,
      metrics,
      logger,
      stopped,
    });
    return checker.run();
  }

  private healthPath(service: string): string {
    return this.options.endpoint.table?.service(service)?.healthPath ?? DEFAULT_HEALTH_PATH;
  }

  private sendsTo(service: string): boolean {
    const { aggregation, endpoint } = this.options;
    const { table } = endpoint;
    if (table === undefined) return false;
    return (
      table.isRouted(service) || (table.isShard(service) && aggregation.queriesDirectly(service))
    );
  }

  private shouldKeepWarm(service: string): boolean {
    const { context, aggregation, endpoint } = this.options;
    const { table } = endpoint;
    if (table === undefined) return context.targets.size <= MAXIMUM_REPLICAS_WARMED_WITHOUT_ROUTES;
    return table.isShard(service) && aggregation.queriesDirectly(service);
  }

  private async forgetSilent(): Promise<void> {
    const { context, directory, stopped } = this.options;
    const { clock } = context.environment;
    while (!stopped.aborted) {
      await sleepUntilTick(clock, FORGET_INTERVAL_MS, stopped).catch(() => undefined);
      directory.forgetSilent();
    }
  }
}
