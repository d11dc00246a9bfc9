/**
 * Estimates how long a request would wait at each replica of its service before processing starts,
 * and whether that leaves time to answer it. During bursts, when all queues grow long, a request
 * that cannot be answered in time is refused early, while its caller can still do something else.
 */
import type { ReplicaTarget } from './replica-target.js';

/**
 * Older load reports are ignored, so that a replica that always reports being full is still tried.
 */
const LOAD_VALID_MS = 1_000;

/**
 * The time limits of a request and its candidate replicas. Points in time are clock readings;
 * durations are milliseconds.
 */
export interface WaitQuery {
  readonly targets: readonly ReplicaTarget[];
  /** Median latency of an attempt. */
  readonly medianLatency: number;
  /** Until when the request may wait to be sent. */
  readonly sendDeadline: number;
  readonly deadline: number;
  readonly now: number;
}

/** Expected service time of one request, given the replica's recent slowness. Milliseconds. */
function serviceTime(target: ReplicaTarget, medianLatency: number, now: number): number {
  return medianLatency * Math.max(1, target.slownessAt(now));
}

/** Mean time until one of the replica's slots becomes free when all are in use. Milliseconds. */
export function slotInterval(target: ReplicaTarget, medianLatency: number, now: number): number {
  return serviceTime(target, medianLatency, now) / Math.max(1, target.entry.capacity);
}

/**
 * Estimates the requests at the replica: its last load report, less those it should have completed
 * since. Arrivals since the report are not estimated, so that an old report doesn't keep requests
 * away from the replica for long. Attempts in flight from this gateway always count.
 */
function requestsAhead(target: ReplicaTarget, medianLatency: number, now: number): number {
  const { load, inFlight } = target;
  if (load === undefined || now - load.at > LOAD_VALID_MS) return inFlight;
  const done = (now - load.at) / slotInterval(target, medianLatency, now);
  return Math.max(inFlight, load.running + load.waiting - done);
}

/**
 * Expected time until the replica starts processing a request sent now; 0 if a slot is
 * free. Milliseconds.
 */
export function expectedWait(target: ReplicaTarget, medianLatency: number, now: number): number {
  const slots = Math.max(1, target.entry.capacity);
  const queuedRequests = Math.max(0, requestsAhead(target, medianLatency, now) + 1 - slots);
  const queueTime = queuedRequests * slotInterval(target, medianLatency, now);
  return Math.max(queueTime, target.fullUntil - now);
}

/**
 * Shortest expected wait among the replicas known to be busy, for a request that was refused. The
 * other replicas are left out, as they had no capacity either. Undefined when none is known to be
 * busy, for example when all are unreachable and their return can't be predicted. Milliseconds.
 */
export function shortestBusyWait({ targets, medianLatency, now }: WaitQuery): number | undefined {
  const waits = targets
    .filter((target) => !target.isBackingOff(now))
    .map((target) => expectedWait(target, medianLatency, now))
    .filter((wait) => wait > 0);
  return waits.length === 0 ? undefined : Math.min(...waits);
}

/** Why no replica can answer the request in time; undefined if one may. */
export function refusalReason(query: WaitQuery): string | undefined {
  const { targets, medianLatency, sendDeadline, deadline, now } = query;
  if (targets.length === 0) return undefined;
  if (targets.every(({ fullUntil }) => fullUntil > sendDeadline)) return 'all replicas are full';
  const mayAnswer = targets.some((target) => {
    const wait = expectedWait(target, medianLatency, now);
    // A replica without a queue is tried: the median predicts too little about a single request.
    return wait <= 0 || now + wait + serviceTime(target, medianLatency, now) <= deadline;
  });
  return mayAnswer ? undefined : 'no replica can answer before the deadline';
}
