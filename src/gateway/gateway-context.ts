/** The objects that the components of one gateway share. */
import type { GatewayMechanisms } from '../configuration/gateway-mechanisms.js';
import type { ZoneTraffic } from '../observability/zone-traffic.js';
import type { Environment } from '../seams/environment.js';
import type { AnswerMargin } from './answer-margin.js';
import type { Drain } from './drain.js';
import type { RequestDecisions } from './request-decisions.js';
import type { ExchangeHeaders } from './exchange-headers.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { FleetShares } from './fleet-shares.js';
import type { OverloadShedding } from './overload-shedding.js';
import type { CrashGuard } from '../quarantine/crash-guard.js';
import type { ReplicaChoice } from './replica-choice.js';
import type { RetrySchedule } from './retry-schedule.js';
import type { RouteLatencies } from './route-latencies.js';
import type { AttemptSender } from './attempt-sender.js';
import type { ServiceTargets } from './service-targets.js';
import type { AuthorizationLease } from '../tenants/authorization-lease.js';
import type { TenantQuota } from '../tenants/tenant-quota.js';
import type { ZoneRegions } from './zone-regions.js';

/**
 * Created once per gateway. For shard groups that this gateway asks as a leaf, aggregation uses a
 * copy with `shares` and `shedding` of its own.
 */
export interface GatewayContext {
  readonly environment: Environment;
  readonly headers: ExchangeHeaders;
  readonly mechanisms: GatewayMechanisms;
  readonly targets: ServiceTargets;
  readonly regions: ZoneRegions;
  readonly choice: ReplicaChoice;
  readonly sender: AttemptSender;
  readonly latencies: RouteLatencies;
  readonly shares: FleetShares;
  readonly retrySchedule: RetrySchedule;
  readonly shedding: OverloadShedding;
  readonly answerMargin: AnswerMargin;
  readonly crashGuard: CrashGuard;
  readonly lease: AuthorizationLease;
  readonly quota: TenantQuota;
  readonly drain: Drain;
  readonly decisions: RequestDecisions;
  readonly metrics: GatewayMetrics;
  readonly traffic: ZoneTraffic;
}
