/** Updates replica, latency and load statistics when an attempt ends. */
import type { Route } from '../routes/route-document.js';
import type { AttemptRecord } from './attempt-record.js';
import { NotRunReason, type NotRunAttempt } from './attempt-result.js';
import { slotInterval } from './expected-wait.js';
import type { GatewayContext } from './gateway-context.js';
import type { ReplicaTarget } from './replica-target.js';
import type { RouteLatency } from './route-latency.js';

/**
 * Lower bound of a reported work factor, so that no report makes a replica look arbitrarily slow.
 */
const MINIMUM_WORK_FACTOR = 0.2;

/** Records an ended attempt; does nothing while the attempt is in flight. */
export function observeAttempt(
  context: GatewayContext,
  route: Route,
  latency: RouteLatency,
  target: ReplicaTarget,
  { sentAt, endedAt, result }: AttemptRecord,
): void {
  if (endedAt === undefined || result === undefined) return;
  const elapsed = endedAt - sentAt;
  const ratio = elapsed / Math.max(latency.median, 1);
  context.metrics.attempts.inc({ result: result.kind });
  recordLoad(context, route, target, sentAt);
  switch (result.kind) {
    case 'answered':
      context.targets.confirmAddress(target);
      latency.addAnswer(elapsed);
      target.recordLatency(ratio / reportedWorkFactor(context, target, sentAt), endedAt);
      target.recordSuccess();
      return;
    case 'cancelled':
      latency.addUnfinished(elapsed);
      target.recordUnfinished(ratio, endedAt);
      return;
    case 'failedAnswer':
      return;
    case 'notRun':
      recordNotRun(context, latency, target, result, endedAt);
      return;
    case 'broken':
      target.recordFailure(endedAt);
  }
}

/**
 * Work factor reported with this answer, which is divided out because it doesn't describe the
 * replica.
 */
function reportedWorkFactor(
  { mechanisms }: GatewayContext,
  { load }: ReplicaTarget,
  sentAt: number,
): number {
  const isReported = mechanisms.workReports && load !== undefined && load.at > sentAt;
  return isReported ? Math.max(load.workFactor, MINIMUM_WORK_FACTOR) : 1;
}

function recordNotRun(
  { targets, mechanisms }: GatewayContext,
  latency: RouteLatency,
  target: ReplicaTarget,
  { reason }: NotRunAttempt,
  now: number,
): void {
  const isFull = reason === NotRunReason.Refused && mechanisms.expectedWait;
  if (isFull) target.fullUntil = now + slotInterval(target, latency.median, now);
  if (reason === NotRunReason.Unreachable) target.recordFailure(now);
  if (reason === NotRunReason.WrongReplica) targets.markReplaced(target);
}

/** Records the load report that came with the answer: one read after this attempt was sent. */
function recordLoad(
  { shedding }: GatewayContext,
  { shards = [] }: Route,
  { load }: ReplicaTarget,
  sentAt: number,
): void {
  const [firstShard] = shards;
  const isNew = load !== undefined && load.at > sentAt;
  if (firstShard !== undefined && isNew) shedding.recordLoad(firstShard, load);
}
