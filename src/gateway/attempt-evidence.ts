/**
 * What the end of an attempt says of the request: whether it may be what ends the replicas
 * that run it.
 */
import { incarnationIdOf } from '../directory/replica-entry.js';
import { HttpClientError } from '../errors/http-client-error.js';
import { describeRequest } from '../quarantine/quarantine-entry.js';
import { TrialResult } from '../quarantine/quarantine-metrics.js';
import type { RequestIdentity } from '../quarantine/abandoned-attempts.js';
import { NotRunReason, isConnectionLost, type AttemptResult } from './attempt-result.js';
import type { CallerRequest } from './caller-request.js';
import type { GatewayContext } from './gateway-context.js';
import type { ReplicaTarget } from './replica-target.js';

/** A process that ended refuses connections at once; longer than a connection takes. Milliseconds. */
const CRASH_CHECK_TIMEOUT_MS = 500;
const DEFAULT_HEALTH_PATH = '/health';

/** An attempt that has ended. */
export interface EndedAttempt {
  readonly request: CallerRequest;
  readonly target: ReplicaTarget;
  readonly result: AttemptResult;
  /** It was the only sending of a suspected request. */
  readonly isTrial: boolean;
}

function describeWatched({ fingerprint, method, headers, target }: CallerRequest): RequestIdentity {
  const description = describeRequest(method, headers['host'] ?? '', target);
  return { fingerprint, description };
}

/** Takes in an attempt that has ended, also when its answer was not wanted any more. */
export function recordCrashEvidence(context: GatewayContext, attempt: EndedAttempt): void {
  const { crashGuard, environment, targets } = context;
  const { request, target, result, isTrial } = attempt;
  const replicaId = incarnationIdOf(target.entry);
  // One that has said that it leaves ends on purpose.
  if (isConnectionLost(result) && targets.isRegistered(target)) {
    crashGuard.recordReplicaLoss(replicaId);
    if (isTrial) void finishLostTrial(context, attempt);
    else crashGuard.recordTermination(describeWatched(request), replicaId, false);
    return;
  }
  const isAnswer = result.kind === 'answered' || result.kind === 'failedAnswer';
  if (isAnswer) crashGuard.recordAnswer(request.fingerprint);
  if (result.kind === 'cancelled') {
    const leftMs = request.deadline - environment.clock.now();
    crashGuard.recordAbandonedAttempt(
      replicaId,
      { request: describeWatched(request), isTrial },
      leftMs,
    );
  }
  const isUnreachable = result.kind === 'notRun' && result.reason === NotRunReason.Unreachable;
  if (isUnreachable) crashGuard.recordReplicaLoss(replicaId);
  if (!isTrial) return;
  const trialResult = isAnswer ? TrialResult.Answered : TrialResult.Undecided;
  crashGuard.endTrial(request.fingerprint, trialResult);
}

/** A connection that was reset under a trial counts against the request only when the replica has ended. */
async function finishLostTrial(
  context: GatewayContext,
  { request, target }: EndedAttempt,
): Promise<void> {
  const { crashGuard, targets } = context;
  const isRefusing = await refusesConnections(context, request, target);
  // Its supervisor may have started it again already, as another replica at the same address.
  const hasEnded = isRefusing || target.successor !== undefined;
  const hasLeft = !targets.isRegistered(target);
  if (!hasLeft)
    crashGuard.recordTermination(describeWatched(request), incarnationIdOf(target.entry), hasEnded);
  const result = hasEnded ? TrialResult.ReplicaEnded : TrialResult.Undecided;
  crashGuard.endTrial(request.fingerprint, result);
}

async function refusesConnections(
  { environment }: GatewayContext,
  { table }: CallerRequest,
  { client, entry, address }: ReplicaTarget,
): Promise<boolean> {
  const abort = new AbortController();
  const timer = environment.clock.setTimer(CRASH_CHECK_TIMEOUT_MS, () => abort.abort());
  const path = table.service(entry.service)?.healthPath ?? DEFAULT_HEALTH_PATH;
  try {
    const headers = { host: address };
    const { signal } = abort;
    await client.request({ method: 'GET', path, headers, signal, freshConnection: true });
    return false;
  } catch (error) {
    return error instanceof HttpClientError && error.kind === 'connect_failed';
  } finally {
    timer.cancel();
  }
}
