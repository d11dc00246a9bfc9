/** Forwards a request to one replica of its service and gives the answer back unchanged. */
import type { HttpResponse } from '../seams/http.js';
import type { CallerRequest } from './caller-request.js';
import { longestConnect, longestUnsent } from './connect-bounds.js';
import { GatewayRefusal, refuse, refuseNotRun } from './gateway-answers.js';
import type { GatewayContext } from './gateway-context.js';
import { targetLatencyOf } from './route-latencies.js';
import type { RaceOutcome } from './race-outcome.js';
import { SingleAdmission } from './single-admission.js';
import { ReplicaRace } from './replica-race.js';

/** A request that no replica could take within this part of its target is refused as not run. */
export const UNOFFERED_PART = 0.2;

/** Why a request ends although attempts are in flight. */
export const TIME_UP = 'the time is up';
export const CALLER_GONE = 'the caller has gone';

function answerOf(
  outcome: RaceOutcome,
  isTimeUp: boolean,
  admission: SingleAdmission,
): HttpResponse {
  if (outcome.answer !== undefined) return outcome.answer;
  if (outcome.kind === 'answered') throw new Error('an answered race has an answer');
  if (!outcome.mayHaveRun) return refuseNotRun(outcome.reason, admission.retryAfterMs);
  return refuse(isTimeUp ? GatewayRefusal.TimedOut : GatewayRefusal.Failed, outcome.reason);
}

/** Resolves with the final answer, at the request's deadline at the latest. */
export function forwardSingle(
  context: GatewayContext,
  request: CallerRequest,
  service: string,
): Promise<HttpResponse> {
  const { clock } = context.environment;
  const latency = context.latencies.of(request.route);
  const targetLatency = targetLatencyOf(request.route);
  const isConnectingBounded = context.mechanisms.boundedConnecting;
  return new Promise((resolve) => {
    let isTimeUp = false;
    const onEnd = (race: ReplicaRace): void => {
      offerTimer.cancel();
      unsentTimer?.cancel();
      hedgeTimer.cancel();
      deadlineTimer.cancel();
      request.signal.removeEventListener('abort', onGone);
      const outcome = race.outcome as RaceOutcome;
      context.decisions.attempted(request, race, outcome);
      resolve(answerOf(outcome, isTimeUp, admission));
    };
    const offeredBy = request.receivedAt + targetLatency * UNOFFERED_PART;
    const admission = new SingleAdmission(context, request, service, offeredBy);
    const waited = (): number => clock.now() - request.receivedAt;
    const race: ReplicaRace = new ReplicaRace(context, request, {
      service,
      latency,
      stake: 1,
      isRepeat: false,
      retryUntil: offeredBy,
      connectWithin: isConnectingBounded
        ? () => longestConnect(targetLatency, race.wasOffered ? undefined : waited())
        : undefined,
      onEnd,
    });
    const giveUp = (reason: string): void => {
      if (race.outcome !== undefined) return;
      race.cancel(reason);
      onEnd(race);
    };
    const onGone = (): void => giveUp(CALLER_GONE);
    const offerTimer = clock.setTimer(targetLatency * UNOFFERED_PART, () => {
      if (race.sends === 0) giveUp('no replica has room');
    });
    const unsentTimer = isConnectingBounded
      ? clock.setTimer(longestUnsent(targetLatency), () => {
          if (!race.wasOffered) giveUp('no connection to a replica in time');
        })
      : undefined;
    const hedgeTimer = clock.setTimer(latency.hedgeDelay, () => {
      if (race.hedge()) context.metrics.hedges.inc();
    });
    const deadlineTimer = clock.setTimer(request.deadline - clock.now(), () => {
      isTimeUp = true;
      giveUp(TIME_UP);
    });
    request.signal.addEventListener('abort', onGone, { once: true });
    const { refusal } = admission;
    if (refusal === undefined) race.start();
    else race.refuse(refusal);
  });
}
