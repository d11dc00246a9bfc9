/** What the end of an attempt says of its replica, of its service's latency, and of the load. */
import type { Route } from '../routes/route-document.js';
import type { AttemptRecord } from './attempt-record.js';
import { NotRunReason, type NotRunAttempt } from './attempt-result.js';
import { slotInterval } from './expected-wait.js';
import type { GatewayContext } from './gateway-context.js';
import type { ReplicaTarget } from './replica-target.js';
import type { RouteLatency } from './route-latency.js';

/** Reports below this are taken as this, so that none makes a replica seem endlessly slow. */
const MINIMUM_WORK_FACTOR = 0.2;

/** Takes in an attempt that has ended; nothing while it is in flight. */
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

/** What the replica said with this answer of the time that work took: not a property of the replica. */
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

/** Only what was said in answer to this sending. */
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
