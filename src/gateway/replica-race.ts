/**
 * Gets one answer from one service: sends the request to the best replica, and to others if that
 * fails or is late, and takes the first complete answer. A request that is not repeatable is sent
 * again only if it certainly did not run.
 */
import { CrashGuardDecision } from '../quarantine/crash-guard.js';
import { recordCrashEvidence } from './attempt-evidence.js';
import { observeAttempt } from './attempt-observer.js';
import type { AttemptRecord } from './attempt-record.js';
import type { AttemptResult } from './attempt-result.js';
import { NotRunReason, isConnectionLost } from './attempt-result.js';
import { AttemptTally, type UnansweredResult } from './attempt-tally.js';
import type { Timer } from '../seams/clock.js';
import type { CallerRequest } from './caller-request.js';
import type { FleetShares } from './fleet-shares.js';
import { HedgeRefusal } from './hedge-refusal.js';
import { STOPPING } from './drain.js';
import { QUARANTINED } from './gateway-answers.js';
import type { GatewayContext } from './gateway-context.js';
import { ReplicaAttempt } from './replica-attempt.js';
import { ReplicaCandidates } from './replica-candidates.js';
import type { ReplicaTarget } from './replica-target.js';
import type { RaceOutcome } from './race-outcome.js';
import type { RouteLatency } from './route-latency.js';

/**
 * Delay before replicas that did not run the request are tried again; doubled each time, with
 * jitter.
 */
const FIRST_RETRY_DELAY_MS = 12;

/** Options of a {@link ReplicaRace}. */
export interface ReplicaRaceOptions {
  readonly service: string;
  readonly latency: RouteLatency;
  /** Fraction of the request's value that is lost if this service's answer is late; at most 1. */
  readonly valueFraction: number;
  /**
   * Whether another gateway may have sent the request to the service: the first attempt then needs
   * budget as well.
   */
  readonly isRepeat: boolean;
  /** Until when replicas that did not run the request are tried again. Clock reading. */
  readonly retryDeadline: number;
  /**
   * Whether an attempt is aborted when another replica takes over the address; false by default.
   */
  readonly abortsOnReplacement?: boolean;
  /**
   * Returns the connect timeout of an attempt that starts now, in milliseconds; the client's own if
   * absent.
   */
  readonly connectTimeout?: (() => number) | undefined;
  /**
   * Called before an attempt that follows one that may have run or is in flight; always allowed if
   * absent.
   */
  readonly maySendAgain?: (() => boolean) | undefined;
  /** Applied to the body of each answer before the race keeps it; the whole body is kept if absent. */
  readonly shortenBody?: (body: Uint8Array) => Uint8Array;
  readonly onEnd: (race: ReplicaRace) => void;
}

/** Race between the replicas of one service for one request. */
export class ReplicaRace {
  outcome: RaceOutcome | undefined;
  /** Why the last hedge that was due was not sent; undefined when it was, or none was due. */
  hedgeRefusal: HedgeRefusal | undefined;
  /** Attempts so far, in the order of sending. */
  readonly attempts: AttemptRecord[] = [];
  private readonly inFlight = new Set<ReplicaAttempt>();
  private readonly candidates: ReplicaCandidates;
  private readonly tally = new AttemptTally();
  private retryTimer: Timer | undefined;
  private retryDelays = 0;
  private lastResult: AttemptResult | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly request: CallerRequest,
    private readonly options: ReplicaRaceOptions,
  ) {
    this.candidates = new ReplicaCandidates(context, request, options);
  }

  /** The service whose replicas are tried. */
  get service(): string {
    return this.options.service;
  }

  /** Starts the first attempt, or waits until a replica has capacity. */
  start(): void {
    if (!this.options.isRepeat) this.context.shares.recordRequest(this.service);
    this.begin();
  }

  /** Ends the race without an attempt; called instead of {@link ReplicaRace.start}. */
  refuse(reason: string): void {
    this.tally.reason = reason;
    this.finish(this.failure());
  }

  private begin(): void {
    if (this.options.isRepeat) {
      if (!this.startFurtherAttempt(this.context.shares)) this.finish(this.failure());
      return;
    }
    if (this.startFirstAttempt() || this.refuseIfStopping()) return;
    const mayWait = this.context.mechanisms.waitForRoom && this.candidates.mayBecomeAvailable;
    if (mayWait) this.waitForCapacity();
    else this.finish(this.failure());
  }

  /**
   * Starts a hedge if the route, the budget and the crash guard allow it. Returns true if it was
   * sent, or if the race ended because the request is quarantined.
   */
  hedge(): boolean {
    if (this.outcome !== undefined) return false;
    this.hedgeRefusal = this.refuseHedge();
    return this.hedgeRefusal === undefined;
  }

  /** Starts a hedge, or returns why it may not be sent. */
  private refuseHedge(): HedgeRefusal | undefined {
    const { crashGuard, mechanisms, shares } = this.context;
    const { route, fingerprint } = this.request;
    if (!mechanisms.hedging || route.execution !== 'repeatable') return HedgeRefusal.NotPermitted;
    if (!this.hasAttemptsLeft) return HedgeRefusal.NoAttemptsLeft;
    if (!this.hasTimeBeforeStop) return HedgeRefusal.Stopping;
    if (crashGuard.isSuspected(fingerprint)) return HedgeRefusal.Suspected;
    const target = this.candidates.choose();
    if (target === undefined) return HedgeRefusal.NoReplica;
    if (!this.isFurtherAttemptAllowed) return HedgeRefusal.NotGranted;
    return this.sendIfAdmitted(target, shares) ? undefined : HedgeRefusal.NoBudget;
  }

  /** Number of attempts so far. */
  get sends(): number {
    return this.attempts.length;
  }

  /** Ends the race and abandons its attempts; `reason` is reported if any was in flight. */
  cancel(reason: string): void {
    if (this.inFlight.size > 0) this.tally.reason = reason;
    this.outcome ??= this.failure();
    this.abandonInFlight();
  }

  /** Whether the request may have run, or may still run. */
  get mayRun(): boolean {
    return this.tally.mayHaveRun || [...this.inFlight].some(({ isConnected }) => isConnected);
  }

  /** Whether the request was written to a connection to any replica. */
  get wasSent(): boolean {
    return this.attempts.some(({ connectedAt }) => connectedAt !== undefined);
  }

  private get hasAttemptsLeft(): boolean {
    return this.tally.possibleRuns + this.inFlight.size < this.request.route.maximumAttempts;
  }

  private readonly onCapacity = (): void => {
    if (this.outcome !== undefined || this.inFlight.size > 0) return;
    if (this.startFirstAttempt() || this.refuseIfStopping()) return;
    this.waitForCapacity();
  };

  private waitForCapacity(): void {
    this.context.targets.onceCapacity(this.service, this.onCapacity);
  }

  /**
   * Starts an attempt at a further replica, taken from `budget` if one is passed. Returns true if
   * it was sent, if it waits for a trial of the request, or if the race ended because the request
   * is quarantined.
   */
  private startFurtherAttempt(budget: FleetShares | undefined): boolean {
    const target = this.candidates.choose();
    if (target === undefined || !this.isFurtherAttemptAllowed) return false;
    return this.sendIfAdmitted(target, budget);
  }

  private get isFurtherAttemptAllowed(): boolean {
    const isFirst = this.tally.possibleRuns + this.inFlight.size === 0;
    return isFirst || this.options.maySendAgain?.() !== false;
  }

  /**
   * Starts the first attempt, without budget; returns as {@link ReplicaRace.startFurtherAttempt}.
   */
  private startFirstAttempt(): boolean {
    if (!this.hasTimeBeforeStop) return false;
    const target = this.candidates.choose();
    return target !== undefined && this.sendIfAdmitted(target, undefined);
  }

  /** False when this gateway is stopping, and an attempt that starts now might be cut off. */
  private get hasTimeBeforeStop(): boolean {
    return this.context.drain.admitsAttempt(this.request);
  }

  /** Returns true if the race ended because no first attempt may be started any more. */
  private refuseIfStopping(): boolean {
    if (this.hasTimeBeforeStop) return false;
    this.refuse(STOPPING);
    return true;
  }

  private sendIfAdmitted(target: ReplicaTarget, budget: FleetShares | undefined): boolean {
    const { crashGuard } = this.context;
    const { fingerprint } = this.request;
    const admission = crashGuard.admit(fingerprint, this.onQuarantineUpdate);
    if (admission === CrashGuardDecision.Wait) return true;
    if (admission === CrashGuardDecision.Refused) {
      this.failQuarantined();
      return true;
    }
    const isTrial = admission === CrashGuardDecision.Trial;
    const isWithinBudget = budget === undefined || budget.takeExtraAttempt(this.service);
    if (isWithinBudget)
      this.send(isTrial ? this.candidates.chooseForTrial(target) : target, isTrial);
    else if (isTrial) crashGuard.cancelTrial(fingerprint, this.onQuarantineUpdate);
    return isWithinBudget;
  }

  /**
   * Aborts attempts immediately: a replica that drops the request in time does not crash from it.
   */
  private failQuarantined(): void {
    this.tally.reason = QUARANTINED;
    const outcome = this.failure();
    for (const attempt of this.inFlight) attempt.abort();
    this.finish(outcome);
  }

  /** Called when a trial of the request has ended, or the request was cleared or quarantined. */
  private readonly onQuarantineUpdate = (): void => {
    if (this.outcome !== undefined) return;
    const { crashGuard } = this.context;
    const { fingerprint } = this.request;
    if (crashGuard.isQuarantined(fingerprint)) this.failQuarantined();
    else if (this.inFlight.size > 0) crashGuard.onceChanged(fingerprint, this.onQuarantineUpdate);
    else if (this.lastResult === undefined) this.begin();
    else this.continueAfter(this.lastResult);
  };

  private send(target: ReplicaTarget, isTrial: boolean): void {
    const { request, options } = this;
    const attempt = new ReplicaAttempt(this.context, {
      request,
      target,
      isTrial,
      abortsOnReplacement: options.abortsOnReplacement === true,
      connectTimeout: options.connectTimeout?.(),
      coldSendInterval: this.context.shares.coldSendInterval(request.table, this.service),
    });
    this.attempts.push(attempt.record);
    this.candidates.markTried(target);
    this.inFlight.add(attempt);
    attempt.start((result) => {
      this.inFlight.delete(attempt);
      this.handleResult(attempt, this.shorten(result));
      this.context.targets.notifyCapacity(this.service);
    });
  }

  private shorten(result: AttemptResult): AttemptResult {
    const { shortenBody } = this.options;
    if (shortenBody === undefined || !('answer' in result)) return result;
    const { answer } = result;
    return { ...result, answer: { ...answer, body: shortenBody(answer.body) } };
  }

  private handleResult(attempt: ReplicaAttempt, result: AttemptResult): void {
    const { target, record, isTrial } = attempt;
    this.lastResult = result;
    record.endedAt = this.context.environment.clock.now();
    record.result = result;
    observeAttempt(this.context, this.request.route, this.options.latency, target, record);
    if (isConnectionLost(result)) {
      this.context.decisions.logConnectionLost(this.request, this.service, record);
    }
    // Unsubscribed first: recordCrashEvidence may end the trial, and the callback would continue
    // the race before this result is counted.
    if (isTrial)
      this.context.crashGuard.cancelOnceChanged(this.request.fingerprint, this.onQuarantineUpdate);
    recordCrashEvidence(this.context, { request: this.request, target, result, isTrial });
    if (result.kind === 'answered') {
      if (this.outcome === undefined) this.finish({ kind: 'answered', answer: result.answer });
      return;
    }
    this.recordUnanswered(target, result);
    if (this.outcome === undefined) this.continueAfter(result);
  }

  private recordUnanswered(target: ReplicaTarget, result: UnansweredResult): void {
    this.tally.record(result);
    const mayRunLater = result.kind === 'notRun' && result.reason !== NotRunReason.WrongReplica;
    if (mayRunLater) this.candidates.markNotRun(target);
  }

  /** After an unsuccessful attempt: starts another, waits for those in flight, or ends the race. */
  private continueAfter(result: AttemptResult): void {
    if (this.mayRetryAfter(result)) {
      if (this.startFurtherAttempt(this.budgetAfter(result))) return;
      if (this.inFlight.size === 0 && this.scheduleRetry(result)) return;
    }
    if (this.inFlight.size === 0) this.finish(this.failure());
  }

  private mayRetryAfter(result: AttemptResult): boolean {
    if (!this.context.mechanisms.retries || !this.hasTimeBeforeStop) return false;
    const wasNotRun = result.kind === 'notRun';
    const isRepeatable = this.request.route.execution === 'repeatable';
    const isAllowed = wasNotRun ? this.tally.isWithinRefusalLimit : isRepeatable;
    return isAllowed && this.hasAttemptsLeft;
  }

  /** A retry needs no budget if the attempt never reached a replica, as it adds no load. */
  private budgetAfter(result: AttemptResult): FleetShares | undefined {
    const neverArrived = result.kind === 'notRun' && result.reason === NotRunReason.Unreachable;
    return neverArrived ? undefined : this.context.shares;
  }

  /**
   * Schedules a retry at the replicas that did not run the request; false if the retry deadline
   * would pass.
   */
  private scheduleRetry(result: AttemptResult): boolean {
    const { clock, random } = this.context.environment;
    const delay = FIRST_RETRY_DELAY_MS * 2 ** this.retryDelays * (0.5 + random.nextFloat());
    if (clock.now() + delay > this.options.retryDeadline) return false;
    this.retryDelays += 1;
    this.retryTimer = clock.setTimer(delay, () => {
      if (this.outcome !== undefined || this.inFlight.size > 0) return;
      this.candidates.readmitNotRun();
      this.continueAfter(result);
    });
    return true;
  }

  private failure(): RaceOutcome {
    return this.tally.failure(this.mayRun);
  }

  private finish(outcome: RaceOutcome): void {
    this.outcome = outcome;
    this.abandonInFlight();
    this.options.onEnd(this);
  }

  private abandonInFlight(): void {
    this.context.targets.cancelCapacity(this.service, this.onCapacity);
    this.context.crashGuard.cancelOnceChanged(this.request.fingerprint, this.onQuarantineUpdate);
    this.retryTimer?.cancel();
    for (const attempt of this.inFlight) attempt.abandon();
  }
}
