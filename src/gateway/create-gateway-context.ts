/** Creates the objects that the components of a gateway share. */
import type { GatewayMechanisms } from '../configuration/gateway-mechanisms.js';
import type { ReplicaDirectory } from '../directory/replica-directory.js';
import { DecisionLog } from '../observability/decision-log.js';
import type { Telemetry } from '../observability/telemetry.js';
import type { ZoneTraffic } from '../observability/zone-traffic.js';
import type { Environment } from '../seams/environment.js';
import { CrashGuard } from '../quarantine/crash-guard.js';
import type { QuarantineChange } from '../quarantine/quarantine-register.js';
import { AnswerMargin } from './answer-margin.js';
import { Drain } from './drain.js';
import type { ExchangeHeaders } from './exchange-headers.js';
import { FleetShares } from './fleet-shares.js';
import type { GatewayContext } from './gateway-context.js';
import { GatewayMetrics } from './gateway-metrics.js';
import { OverloadShedding } from './overload-shedding.js';
import { ReplicaChoice, type PlacementOptions } from './replica-choice.js';
import { RequestDecisions } from './request-decisions.js';
import { RetrySchedule } from './retry-schedule.js';
import { RouteLatencies } from './route-latencies.js';
import type { ExtraAttemptLimits } from './extra-attempt-budget.js';
import { AttemptSender, type UnreadableReport } from './attempt-sender.js';
import { ServiceTargets } from './service-targets.js';
import type { AuthorizationLease } from '../tenants/authorization-lease.js';
import type { TenantQuota } from '../tenants/tenant-quota.js';
import type { ZoneRegions } from './zone-regions.js';

/** Settings and collaborators of a gateway. */
export interface GatewayContextOptions {
  /** Name of the gateway. */
  readonly name: string;
  readonly environment: Environment;
  readonly headers: ExchangeHeaders;
  readonly telemetry: Telemetry;
  readonly traffic: ZoneTraffic;
  readonly directory: ReplicaDirectory;
  readonly mechanisms: GatewayMechanisms;
  readonly placement: PlacementOptions;
  readonly regions: ZoneRegions;
  readonly secondSends: ExtraAttemptLimits;
  readonly lease: AuthorizationLease;
  readonly quota: TenantQuota;
  /** Number of gateways in the fleet; undefined while no followed controller has reported it. */
  readonly countGateways: () => number | undefined;
  /**
   * Reports to a controller evidence about a request that may crash replicas; returns false while
   * the gateway follows no controller.
   */
  readonly reportEvidence: (change: QuarantineChange) => boolean;
}

/** Creates the context, and registers the gateway's metrics in the telemetry's registry. */
export function createGatewayContext(options: GatewayContextOptions): GatewayContext {
  const { environment, headers, telemetry, directory, mechanisms, placement } = options;
  const { regions, secondSends, countGateways, lease, quota, traffic } = options;
  const { clock, random } = environment;
  const decisionLog = new DecisionLog(clock, telemetry.logger);
  const decisions = new RequestDecisions(clock, decisionLog);
  const metrics = new GatewayMetrics(telemetry.registry);
  const onUnreadableReport = (report: UnreadableReport): void => {
    metrics.unreadableReports.inc();
    decisions.logUnreadableReport(report);
  };
  const crashGuard = new CrashGuard({
    clock,
    log: decisionLog,
    registry: telemetry.registry,
    gateway: options.name,
    send: options.reportEvidence,
    isEnabled: mechanisms.quarantine,
    areTrialsEnabled: mechanisms.crashTrials,
  });
  const latencies = new RouteLatencies();
  return {
    environment,
    headers,
    mechanisms,
    targets: new ServiceTargets(environment, directory),
    regions,
    choice: new ReplicaChoice(clock, random, placement, mechanisms),
    sender: new AttemptSender(clock, headers, onUnreadableReport, traffic),
    latencies,
    shares: new FleetShares(clock, secondSends, countGateways, mechanisms.youngShares),
    retrySchedule: new RetrySchedule(random),
    shedding: new OverloadShedding(clock, random),
    answerMargin: new AnswerMargin(mechanisms.learnedMargin),
    crashGuard,
    lease,
    quota,
    drain: new Drain(clock, latencies),
    decisions,
    metrics,
    traffic,
  };
}
