/** Forwards a request to one replica of its service and returns its response unchanged. */
import type { Timer } from '../seams/clock.js';
import type { HttpResponse } from '../seams/http.js';
import { afterResponse } from './after-response.js';
import type { CallerRequest } from './caller-request.js';
import { connectTimeout, sendTimeout } from './connect-timeouts.js';
import { STOPPING } from './drain.js';
import { GatewayRefusal, refuse, refuseNotRun } from './gateway-answers.js';
import type { GatewayContext } from './gateway-context.js';
import { targetLatencyOf } from './route-latencies.js';
import type { RaceOutcome } from './race-outcome.js';
import { SingleAdmission } from './single-admission.js';
import type { RouteLatency } from './route-latency.js';
import { ReplicaRace } from './replica-race.js';

/**
 * A request for which no attempt could be started within this fraction of its target latency is
 * refused as not run.
 */
export const NO_ATTEMPT_REFUSAL_FRACTION = 0.2;

/** Reason given when a request ends at its deadline, possibly with attempts in flight. */
export const TIME_UP = 'the time is up';
/** Reason given when the caller has disconnected, possibly with attempts in flight. */
export const CALLER_GONE = 'the caller has gone';

/** One request to one service, from its first attempt to its response. */
class SingleForwarding {
  private readonly race: ReplicaRace;
  private readonly admission: SingleAdmission;
  private readonly startedAt: number;
  private readonly targetLatency: number;
  private timers: readonly Timer[] = [];
  private isDeadlinePassed = false;

  constructor(
    private readonly context: GatewayContext,
    private readonly request: CallerRequest,
    service: string,
    private readonly resolve: (answer: HttpResponse) => void,
  ) {
    this.startedAt = context.environment.clock.now();
    this.targetLatency = targetLatencyOf(request.route);
    const sendDeadline = request.receivedAt + this.targetLatency * NO_ATTEMPT_REFUSAL_FRACTION;
    this.admission = new SingleAdmission(context, request, service, sendDeadline);
    this.race = new ReplicaRace(context, request, {
      service,
      latency: this.latency,
      valueFraction: 1,
      isRepeat: false,
      retryDeadline: sendDeadline,
      abortsOnReplacement: context.mechanisms.endedReplicas,
      connectTimeout: context.mechanisms.boundedConnecting ? this.connectWithin : undefined,
      onEnd: this.onEnd,
    });
  }

  start(): void {
    this.setTimers();
    this.request.signal.addEventListener('abort', this.onCallerGone, { once: true });
    this.context.drain.onceEnded(this.onDrainEnd);
    const { refusal } = this.admission;
    if (refusal === undefined) this.race.start();
    else this.race.refuse(refusal);
  }

  private get latency(): RouteLatency {
    return this.context.latencies.of(this.request.route);
  }

  private setTimers(): void {
    const { clock } = this.context.environment;
    this.timers = [
      clock.setTimer(this.targetLatency * NO_ATTEMPT_REFUSAL_FRACTION, this.refuseIfNotAttempted),
      clock.setTimer(sendTimeout(this.targetLatency), this.refuseIfUnconnected),
      clock.setTimer(this.latency.hedgeDelay, this.onHedgeDelay),
      clock.setTimer(this.request.deadline - clock.now(), this.onDeadline),
    ];
  }

  /**
   * Maximum wait for a connection by an attempt that starts now. The time without a connection
   * counts from the start of forwarding, because replicas do not cause earlier delays. Milliseconds.
   */
  private readonly connectWithin = (): number => {
    const elapsed = this.context.environment.clock.now() - this.startedAt;
    return connectTimeout(this.targetLatency, this.race.wasSent ? undefined : elapsed);
  };

  private readonly refuseIfNotAttempted = (): void => {
    if (this.race.sends === 0) this.giveUp('no replica has room');
  };

  private readonly refuseIfUnconnected = (): void => {
    const isBounded = this.context.mechanisms.boundedConnecting;
    if (isBounded && !this.race.wasSent) this.giveUp('no connection to a replica in time');
  };

  private readonly onHedgeDelay = (): void => {
    if (this.race.hedge()) this.context.metrics.hedges.inc();
  };

  private readonly onDeadline = (): void => {
    this.isDeadlinePassed = true;
    this.giveUp(TIME_UP);
  };

  private readonly onCallerGone = (): void => this.giveUp(CALLER_GONE);

  private readonly onDrainEnd = (): void => this.giveUp(STOPPING);

  private giveUp(reason: string): void {
    if (this.race.outcome !== undefined) return;
    this.race.cancel(reason);
    this.onEnd(this.race);
  }

  private readonly onEnd = (race: ReplicaRace): void => {
    for (const timer of this.timers) timer.cancel();
    this.request.signal.removeEventListener('abort', this.onCallerGone);
    this.context.drain.cancelOnceEnded(this.onDrainEnd);
    const outcome = race.outcome as RaceOutcome;
    this.resolve(this.responseOf(outcome));
    afterResponse(this.context.environment.clock, () =>
      this.context.decisions.logSingleRequest(this.request, race, outcome),
    );
  };

  private responseOf(outcome: RaceOutcome): HttpResponse {
    if (outcome.answer !== undefined) return outcome.answer;
    if (outcome.kind === 'answered')
      throw new Error('a race with the outcome "answered" holds no answer');
    if (!outcome.mayHaveRun) return refuseNotRun(outcome.reason, this.admission.retryAfterMs);
    const refusal = this.isDeadlinePassed ? GatewayRefusal.TimedOut : GatewayRefusal.Failed;
    return refuse(refusal, outcome.reason);
  }
}

/** Resolves with the final response, at the request's deadline at the latest. */
export function forwardSingle(
  context: GatewayContext,
  request: CallerRequest,
  service: string,
): Promise<HttpResponse> {
  return new Promise((resolve) => {
    new SingleForwarding(context, request, service, resolve).start();
  });
}
