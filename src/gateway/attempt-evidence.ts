/** Reports ended attempts to the crash guard, which detects requests that crash their replicas. */
import { incarnationIdOf } from '../directory/replica-entry.js';
import { HttpClientError } from '../errors/http-client-error.js';
import { describeRequest } from '../quarantine/quarantine-entry.js';
import { TrialResult } from '../quarantine/quarantine-metrics.js';
import type { RequestIdentity } from '../quarantine/abandoned-attempts.js';
import { NotRunReason, isConnectionLost, type AttemptResult } from './attempt-result.js';
import type { CallerRequest } from './caller-request.js';
import type { GatewayContext } from './gateway-context.js';
import type { ReplicaTarget } from './replica-target.js';

/** Longer than a connection takes to open; an ended process refuses connections at once. */
const CRASH_CHECK_TIMEOUT_MS = 500;
const DEFAULT_HEALTH_PATH = '/health';

/** An attempt that has ended. */
export interface EndedAttempt {
  readonly request: CallerRequest;
  readonly target: ReplicaTarget;
  readonly result: AttemptResult;
  /** Whether this attempt was a trial: the only attempt of a suspected request. */
  readonly isTrial: boolean;
}

function describeWatched({ fingerprint, method, headers, target }: CallerRequest): RequestIdentity {
  const description = describeRequest(method, headers['host'] ?? '', target);
  return { fingerprint, description };
}

/** Records an ended attempt, including one that was cancelled. */
export function recordCrashEvidence(context: GatewayContext, attempt: EndedAttempt): void {
  const { crashGuard, environment, targets } = context;
  const { request, target, result, isTrial } = attempt;
  const replicaId = incarnationIdOf(target.entry);
  // A replica that announced its departure closes connections on purpose.
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

/** Counts a connection lost during a trial against the request only if the replica has ended. */
async function finishLostTrial(
  context: GatewayContext,
  { request, target }: EndedAttempt,
): Promise<void> {
  const { crashGuard, targets } = context;
  const isRefusing = await refusesConnections(context, request, target);
  // A supervisor may already have restarted it, as another replica at the same address.
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
