/**
 * Gets one answer from one service: sends to its best replica, to another when
 * that fails or is late, and takes the first whole answer. A request that is not
 * repeatable is sent on only when it certainly was not run.
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
import { QUARANTINED } from './gateway-answers.js';
import type { GatewayContext } from './gateway-context.js';
import { ReplicaAttempt } from './replica-attempt.js';
import { ReplicaCandidates } from './replica-candidates.js';
import type { ReplicaTarget } from './replica-target.js';
import type { RaceOutcome } from './race-outcome.js';
import type { RouteLatency } from './route-latency.js';

/** Pause before replicas that could not take it are tried again; doubled each time. Milliseconds. */
const FIRST_RETRY_DELAY_MS = 12;

/** What is asked, and how. */
export interface ReplicaRaceOptions {
  readonly service: string;
  readonly latency: RouteLatency;
  /** Part of the request's worth that is lost when this service does not answer in time; at most 1. */
  readonly valueFraction: number;
  /** The request may have been sent to the service by another gateway: the budget is asked first. */
  readonly isRepeat: boolean;
  /** Until when replicas that could not take it are tried again. Clock reading. */
  readonly retryDeadline: number;
  /** Whether an attempt is given up when another replica has the address; absent: it is not. */
  readonly abortsOnReplacement?: boolean;
  /** Longest wait for a connection of a sending that begins now; absent: the client's own. Milliseconds. */
  readonly connectTimeout?: (() => number) | undefined;
  /** Asked before a further sending beside or after one that may have run; absent: always allowed. */
  readonly maySendAgain?: (() => boolean) | undefined;
  readonly onEnd: (race: ReplicaRace) => void;
}

/** See the module comment. */
export class ReplicaRace {
  outcome: RaceOutcome | undefined;
  /** Sendings so far, in their order. */
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

  /** The service that is asked. */
  get service(): string {
    return this.options.service;
  }

  /** Sends for the first time, or as soon as a replica has room. */
  start(): void {
    if (!this.options.isRepeat) this.context.shares.recordRequest(this.service);
    this.begin();
  }

  /** Ends the race before it began. */
  refuse(reason: string): void {
    this.tally.reason = reason;
    this.finish(this.failure());
  }

  private begin(): void {
    if (this.options.isRepeat) {
      if (!this.startFurtherAttempt(this.context.shares)) this.finish(this.failure());
      return;
    }
    if (this.startFirstAttempt()) return;
    const mayWait = this.context.mechanisms.waitForRoom && this.candidates.mayBecomeAvailable;
    if (mayWait) this.waitForCapacity();
    else this.finish(this.failure());
  }

  /** Sends to another replica as well, when the budget has room; true when it did. */
  hedge(): boolean {
    const isOver = this.outcome !== undefined || !this.context.mechanisms.hedging;
    if (isOver || this.request.route.execution !== 'repeatable' || !this.hasAttemptsLeft)
      return false;
    if (this.context.crashGuard.isSuspected(this.request.fingerprint)) return false;
    return this.startFurtherAttempt(this.context.shares);
  }

  /** Sendings so far. */
  get sends(): number {
    return this.attempts.length;
  }

  /** Ends the race and every attempt that is still in flight; `reason` stands where there is none. */
  cancel(reason: string): void {
    if (this.inFlight.size > 0) this.tally.reason = reason;
    this.outcome ??= this.failure();
    this.abandonInFlight();
  }

  /** Whether a request that is given up now may have run, or may still run. */
  get mayRun(): boolean {
    return this.tally.mayHaveRun || [...this.inFlight].some(({ isConnected }) => isConnected);
  }

  /** Whether it was written to a connection to some replica. */
  get wasSent(): boolean {
    return this.attempts.some(({ connectedAt }) => connectedAt !== undefined);
  }

  private get hasAttemptsLeft(): boolean {
    return this.tally.possibleRuns + this.inFlight.size < this.request.route.maximumAttempts;
  }

  private readonly onCapacity = (): void => {
    if (this.outcome === undefined && this.inFlight.size === 0 && !this.startFirstAttempt())
      this.waitForCapacity();
  };

  private waitForCapacity(): void {
    this.context.targets.onceCapacity(this.service, this.onCapacity);
  }

  /**
   * Sends to a further replica; `budget` is asked for it unless what came before never arrived.
   * True when it was sent, waits for a trial of the request, or is refused for good.
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

  /** For the first time; as {@link ReplicaRace.startFurtherAttempt}. */
  private startFirstAttempt(): boolean {
    const target = this.candidates.choose();
    return target !== undefined && this.sendIfAdmitted(target, undefined);
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

  /** What is in flight ends at once: a replica that drops it in time does not end under it. */
  private failQuarantined(): void {
    this.tally.reason = QUARANTINED;
    const outcome = this.failure();
    for (const attempt of this.inFlight) attempt.abort();
    this.finish(outcome);
  }

  /** A trial of the request has ended, or it was cleared or quarantined. */
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
      this.handleResult(attempt, result);
      this.context.targets.notifyCapacity(this.service);
    });
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
    // Its own result is no news to it: woken for it, it would go on before it has taken it.
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

  /** After an attempt that brought no answer: another one, the wait for those in flight, or the end. */
  private continueAfter(result: AttemptResult): void {
    if (this.mayRetryAfter(result)) {
      if (this.startFurtherAttempt(this.budgetAfter(result))) return;
      if (this.inFlight.size === 0 && this.scheduleRetry(result)) return;
    }
    if (this.inFlight.size === 0) this.finish(this.failure());
  }

  private mayRetryAfter(result: AttemptResult): boolean {
    if (!this.context.mechanisms.retries) return false;
    const wasNotRun = result.kind === 'notRun';
    const isRepeatable = this.request.route.execution === 'repeatable';
    const isAllowed = wasNotRun ? this.tally.isWithinRefusalLimit : isRepeatable;
    return isAllowed && this.hasAttemptsLeft;
  }

  /** What never reached a replica costs the replicas nothing when it is sent again. */
  private budgetAfter(result: AttemptResult): FleetShares | undefined {
    const neverArrived = result.kind === 'notRun' && result.reason === NotRunReason.Unreachable;
    return neverArrived ? undefined : this.context.shares;
  }

  /** Tries the replicas that did not run it once more after a pause; false when it is too late. */
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
