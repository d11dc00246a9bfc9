/**
 * How long a request would wait at the replicas of its service before work on it begins, and whether
 * that leaves time to answer it. It answers bursts in which all queues grow long: a request that
 * cannot be answered in time is refused while its caller can still do something else.
 */
import type { ReplicaTarget } from './replica-target.js';

/** An older load report is not used, so that a replica that always reports to be full is tried. Milliseconds. */
const LOAD_VALID_MS = 1_000;

/** What a request needs. Clock readings and milliseconds. */
export interface WaitQuery {
  readonly targets: readonly ReplicaTarget[];
  /** Usual time of an answer. */
  readonly medianLatency: number;
  /** Until when it may wait for an offer. */
  readonly sendDeadline: number;
  readonly deadline: number;
  readonly now: number;
}

/** Time that the replica needs for one request, by how slow it was lately. Milliseconds. */
function serviceTime(target: ReplicaTarget, medianLatency: number, now: number): number {
  return medianLatency * Math.max(1, target.slownessAt(now));
}

/** In which one of the replica's slots is expected to become free when all are used. Milliseconds. */
export function slotInterval(target: ReplicaTarget, medianLatency: number, now: number): number {
  return serviceTime(target, medianLatency, now) / Math.max(1, target.entry.capacity);
}

/**
 * Requests at the replica now, by its last load report less what it has done since. Nothing is
 * assumed to have come since, so that an old report never keeps requests away from it for long.
 */
function requestsAhead(target: ReplicaTarget, medianLatency: number, now: number): number {
  const { load, inFlight } = target;
  if (load === undefined || now - load.at > LOAD_VALID_MS) return inFlight;
  const done = (now - load.at) / slotInterval(target, medianLatency, now);
  return Math.max(inFlight, load.running + load.waiting - done);
}

/** Until work on a request that is sent to the replica now begins. Milliseconds. */
export function expectedWait(target: ReplicaTarget, medianLatency: number, now: number): number {
  const slots = Math.max(1, target.entry.capacity);
  const queuedRequests = Math.max(0, requestsAhead(target, medianLatency, now) + 1 - slots);
  const queueTime = queuedRequests * slotInterval(target, medianLatency, now);
  return Math.max(queueTime, target.fullUntil - now);
}

/**
 * Until some replica begins work on a request that was refused, by those that are known to be busy:
 * the others had no room either. Undefined where none is, as when they cannot be reached: nothing
 * says when they come back. Milliseconds.
 */
export function shortestBusyWait({
  targets,
  medianLatency: medianLatency,
  now,
}: WaitQuery): number | undefined {
  const waits = targets
    .filter((target) => !target.isBackingOff(now))
    .map((target) => expectedWait(target, medianLatency, now))
    .filter((wait) => wait > 0);
  return waits.length === 0 ? undefined : Math.min(...waits);
}

/** Why no replica can take the request in time; undefined when one may. */
export function refusalReason(query: WaitQuery): string | undefined {
  const {
    targets,
    medianLatency: medianLatency,
    sendDeadline: sendDeadline,
    deadline,
    now,
  } = query;
  if (targets.length === 0) return undefined;
  if (targets.every(({ fullUntil }) => fullUntil > sendDeadline)) return 'all replicas are full';
  const mayAnswer = targets.some((target) => {
    const wait = expectedWait(target, medianLatency, now);
    // Without a queue it is tried: the usual time alone says too little of one request.
    return wait <= 0 || now + wait + serviceTime(target, medianLatency, now) <= deadline;
  });
  return mayAnswer ? undefined : 'no replica can answer before the deadline';
}
