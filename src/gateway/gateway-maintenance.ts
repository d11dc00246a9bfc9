/** What a gateway does in the background: connections kept warm, silent replicas forgotten, traffic logged. */
import type { Aggregation } from '../aggregation/aggregation.js';
import type { ReplicaDirectory } from '../directory/replica-directory.js';
import type { Logger } from '../observability/logger.js';
import { logZoneTraffic } from '../observability/zone-traffic-log.js';
import { keepConnectionsWarm } from './connection-warmer.js';
import type { GatewayContext } from './gateway-context.js';
import type { GatewayEndpoint } from './gateway-endpoint.js';

/** So few replicas are connected to before the first routes say which are asked from here. */
const MAXIMUM_REPLICAS_WARMED_WITHOUT_ROUTES = 128;
/** How often forgotten replicas are looked for. */
const FORGET_INTERVAL_MS = 500;

/** What it works on. */
export interface GatewayMaintenanceOptions {
  readonly context: GatewayContext;
  readonly directory: ReplicaDirectory;
  readonly aggregation: Aggregation;
  readonly endpoint: GatewayEndpoint;
  readonly logger: Logger;
  readonly stopped: AbortSignal;
}

/** See the module comment. */
export class GatewayMaintenance {
  constructor(private readonly options: GatewayMaintenanceOptions) {}

  /** Runs until stopped. */
  start(): void {
    const { context, logger, stopped } = this.options;
    const { environment, mechanisms, traffic } = context;
    void this.forgetSilent();
    void logZoneTraffic({ clock: environment.clock, logger, traffic, stopped });
    if (mechanisms.warmConnections) void this.keepWarm();
  }

  private keepWarm(): Promise<void> {
    const { context, aggregation, endpoint, stopped } = this.options;
    const { clock, random } = context.environment;
    return keepConnectionsWarm({
      clock,
      random,
      targets: () => aggregation.preferredTargets(),
      shouldKeepWarm: (service) => this.shouldKeepWarm(service),
      warmupHeader: context.headers.warmup,
      healthPath: (service) => endpoint.table?.service(service)?.healthPath ?? '/health',
      stopped,
    });
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
      await clock.sleep(FORGET_INTERVAL_MS, stopped).catch(() => undefined);
      directory.forgetSilent();
    }
  }
}
