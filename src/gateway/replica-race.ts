/**
 * Gets one answer from one service: sends to its best replica, to another when
 * that fails or is late, and takes the first whole answer. A request that is not
 * repeatable is sent on only when it certainly was not run.
 */
import { Admission } from '../quarantine/crash-guard.js';
import { noteEvidence } from './attempt-evidence.js';
import { observeAttempt } from './attempt-observer.js';
import { choiceInputs, type AttemptRecord } from './attempt-record.js';
import type { AttemptResult, ReplicaAnswer } from './attempt-result.js';
import { NotRunReason, REPLICA_ENDED, isConnectionLost } from './attempt-result.js';
import type { Timer } from '../seams/clock.js';
import type { CallerRequest } from './caller-request.js';
import type { FleetShares } from './fleet-shares.js';
import { QUARANTINED } from './gateway-answers.js';
import type { GatewayContext } from './gateway-context.js';
import type { ReplicaTarget } from './replica-target.js';
import { LAST_WORDS_MS } from './replica-end.js';
import type { RaceOutcome } from './race-outcome.js';
import { targetLatencyOf } from './route-latencies.js';
import type { RouteLatency } from './route-latency.js';
import type { Sending } from './send-attempt.js';

/** Sendings that replicas refused, beyond the attempts of the route. */
const MAXIMUM_REFUSALS = 2;
/** Pause before replicas that could not take it are tried again; doubled each time. Milliseconds. */
const FIRST_RETRY_PAUSE_MS = 12;

/**
 * Longest time that an attempt goes on after its answer is not wanted any more: a pause of a
 * replica, and far less than the half second in which a caller's leaving has to reach it. Milliseconds.
 */
const LINGER_MS = 200;
/** Why attempts are aborted. One for all: an error made for each would cost more than the abort. */
const NOT_WANTED = new Error('the answer is not wanted any more');

/** One attempt in flight. */
interface LiveAttempt {
  readonly target: ReplicaTarget;
  readonly abort: AbortController;
  readonly record: AttemptRecord;
  /** The only sending of a suspected request from here. */
  readonly isTrial: boolean;
  /** Given up because another replica has the address. */
  hasReplicaEnded: boolean;
}

/** Whether the replica may run it; before it is written to a connection an abort makes sure that none does. */
function isConnected({ record }: LiveAttempt): boolean {
  return record.connectedAt !== undefined;
}

/** Of an attempt that was given up because another replica has the address. */
function resultAtEnded(attempt: LiveAttempt, result: AttemptResult): AttemptResult {
  if (result.kind !== 'cancelled') return result;
  if (isConnected(attempt)) return { kind: 'broken', reason: REPLICA_ENDED };
  return { kind: 'notRun', reason: NotRunReason.Unreachable };
}

/** What is asked, and how. */
export interface ReplicaRaceOptions {
  readonly service: string;
  readonly latency: RouteLatency;
  /** Part of the request's worth that is lost when this service does not answer in time; at most 1. */
  readonly stake: number;
  /** The request may have been sent to the service by another gateway: the budget is asked first. */
  readonly isRepeat: boolean;
  /** Until when replicas that could not take it are tried again. Clock reading. */
  readonly retryUntil: number;
  /** Whether an attempt is given up when another replica has the address; absent: it is not. */
  readonly leavesEndedReplicas?: boolean;
  /** Longest wait for a connection of a sending that begins now; absent: the client's own. Milliseconds. */
  readonly connectWithin?: (() => number) | undefined;
  /** Asked before a further sending beside or after one that may have run; absent: always allowed. */
  readonly maySendAgain?: (() => boolean) | undefined;
  readonly onEnd: (race: ReplicaRace) => void;
}

/** See the module comment. */
export class ReplicaRace {
  outcome: RaceOutcome | undefined;
  /** Sendings so far, in their order. */
  readonly attempts: AttemptRecord[] = [];
  private readonly live = new Set<LiveAttempt>();
  /** Replicas that are not asked again, or not before the next pause. */
  private readonly asked = new Set<ReplicaTarget>();
  private readonly notRunBy = new Set<ReplicaTarget>();
  private retryTimer: Timer | undefined;
  private pauses = 0;
  private mayHaveRun = false;
  private possibleRuns = 0;
  private refusals = 0;
  private failedAnswer: ReplicaAnswer | undefined;
  private reason = 'no replica can take it';
  private lastResult: AttemptResult | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly request: CallerRequest,
    private readonly options: ReplicaRaceOptions,
  ) {}

  /** The service that is asked. */
  get service(): string {
    return this.options.service;
  }

  /** Sends for the first time, or as soon as a replica has room. */
  start(): void {
    if (!this.options.isRepeat) this.context.shares.noteRequest(this.service);
    this.begin();
  }

  /** Ends the race before it began. */
  refuse(reason: string): void {
    this.reason = reason;
    this.finish(this.failure());
  }

  private begin(): void {
    if (this.options.isRepeat) {
      if (!this.launchAgain(this.context.shares)) this.finish(this.failure());
      return;
    }
    if (this.launch()) return;
    const mayFindRoom = this.context.mechanisms.waitForRoom && this.mayHaveReplicas;
    if (mayFindRoom) this.waitForRoom();
    else this.finish(this.failure());
  }

  /** Sends to another replica as well, when the budget has room; true when it did. */
  hedge(): boolean {
    const isOver = this.outcome !== undefined || !this.context.mechanisms.hedging;
    if (isOver || this.request.route.execution !== 'repeatable' || !this.mayRunMore) return false;
    if (this.context.crashGuard.isSuspected(this.request.fingerprint)) return false;
    return this.launchAgain(this.context.shares);
  }

  /** Sendings so far. */
  get sends(): number {
    return this.attempts.length;
  }

  /** Ends the race and every attempt that is still in flight; `reason` stands where there is none. */
  cancel(reason: string): void {
    if (this.live.size > 0) this.reason = reason;
    this.outcome ??= this.failure();
    this.abortLive();
  }

  /** Whether a request that is given up now may have run, or may still run. */
  get mayRun(): boolean {
    return this.mayHaveRun || [...this.live].some(isConnected);
  }

  /** Whether it was written to a connection to some replica. */
  get wasOffered(): boolean {
    return this.attempts.some(({ connectedAt }) => connectedAt !== undefined);
  }

  private get mayRunMore(): boolean {
    return this.possibleRuns + this.live.size < this.request.route.maximumAttempts;
  }

  private readonly onRoom = (): void => {
    if (this.outcome === undefined && this.live.size === 0 && !this.launch()) this.waitForRoom();
  };

  private waitForRoom(): void {
    this.context.targets.onceRoom(this.service, this.onRoom);
  }

  /**
   * Sends to a further replica; `budget` is asked for it unless what came before never arrived.
   * True when it was sent, waits for a trial of the request, or is refused for good.
   */
  private launchAgain(budget: FleetShares | undefined): boolean {
    const target = this.choose();
    if (target === undefined || !this.isFurtherSendAllowed) return false;
    return this.sendAdmitted(target, budget);
  }

  private get isFurtherSendAllowed(): boolean {
    const isFirst = this.possibleRuns + this.live.size === 0;
    return isFirst || this.options.maySendAgain?.() !== false;
  }

  /** For the first time; as {@link ReplicaRace.launchAgain}. */
  private launch(): boolean {
    const target = this.choose();
    return target !== undefined && this.sendAdmitted(target, undefined);
  }

  private sendAdmitted(target: ReplicaTarget, budget: FleetShares | undefined): boolean {
    const { crashGuard } = this.context;
    const { fingerprint } = this.request;
    const admission = crashGuard.admit(fingerprint, this.onNews);
    if (admission === Admission.Wait) return true;
    if (admission === Admission.Refused) {
      this.giveUpQuarantined();
      return true;
    }
    const isTrial = admission === Admission.Trial;
    const isPaid = budget === undefined || budget.takeSecondSend(this.service);
    if (isPaid) this.send(isTrial ? this.chooseForTrial(target) : target, isTrial);
    else if (isTrial) crashGuard.returnTrial(fingerprint, this.onNews);
    return isPaid;
  }

  /** What is in flight ends at once: a replica that drops it in time does not end under it. */
  private giveUpQuarantined(): void {
    this.reason = QUARANTINED;
    const outcome = this.failure();
    for (const { abort } of this.live) abort.abort(NOT_WANTED);
    this.finish(outcome);
  }

  /** Two requests that are tried on one replica would both be blamed when it ends. */
  private chooseForTrial(target: ReplicaTarget): ReplicaTarget {
    if (target.trials === 0) return target;
    const onTrial = this.permitted.filter(({ trials }) => trials > 0);
    return this.choose(new Set([...this.asked, ...onTrial])) ?? target;
  }

  /** A trial of the request has ended, or it was cleared or quarantined. */
  private readonly onNews = (): void => {
    if (this.outcome !== undefined) return;
    const { crashGuard } = this.context;
    const { fingerprint } = this.request;
    if (crashGuard.isQuarantined(fingerprint)) this.giveUpQuarantined();
    else if (this.live.size > 0) crashGuard.onceNews(fingerprint, this.onNews);
    else if (this.lastResult === undefined) this.begin();
    else this.goOn(this.lastResult);
  };

  /** Replicas that may get the request. */
  private get permitted(): readonly ReplicaTarget[] {
    const { targets, regions } = this.context;
    return regions.permitted(this.request.route, targets.of(this.service));
  }

  /** Where none is known, none will have room; only a gateway that has just started may learn of one. */
  private get mayHaveReplicas(): boolean {
    return this.permitted.length > 0 || this.context.targets.isLearning;
  }

  private choose(excluded: ReadonlySet<ReplicaTarget> = this.asked): ReplicaTarget | undefined {
    const { choice, shares } = this.context;
    const { table, route } = this.request;
    return choice.choose({
      targets: this.permitted,
      excluded,
      usualLatency: this.options.latency.usual,
      targetLatency: targetLatencyOf(route),
      stake: this.options.stake,
      maximumInFlight: shares.connectionsFor(table, this.service),
      coldSlotLength: shares.coldSlotLength(table, this.service),
    });
  }

  private send(target: ReplicaTarget, isTrial: boolean): void {
    const { clock } = this.context.environment;
    const sentAt = clock.now();
    const inputs = choiceInputs(target, sentAt);
    const record: AttemptRecord = {
      inputs,
      sentAt,
      connectedAt: undefined,
      endedAt: undefined,
      result: undefined,
    };
    const attempt: LiveAttempt = {
      target,
      abort: new AbortController(),
      record,
      isTrial,
      hasReplicaEnded: false,
    };
    const onEnded = (): void => this.giveUpSoon(attempt);
    const sending: Sending = {
      signal: attempt.abort.signal,
      connectWithin: this.options.connectWithin?.(),
      onSent: () => (record.connectedAt = clock.now()),
    };
    const number = target.begin(sentAt);
    target.coldSends.use(
      sentAt,
      this.context.shares.coldSlotLength(this.request.table, this.service),
    );
    target.warmChecks = 0;
    if (isTrial) target.trials += 1;
    this.attempts.push(record);
    this.asked.add(target);
    this.live.add(attempt);
    if (this.options.leavesEndedReplicas === true) target.ending.once(onEnded);
    void this.context.sender.send(this.request, target, sending).then((result) => {
      target.ending.cancel(onEnded);
      target.end(number);
      if (isTrial) target.trials -= 1;
      this.live.delete(attempt);
      this.take(attempt, attempt.hasReplicaEnded ? resultAtEnded(attempt, result) : result);
      this.context.targets.notifyRoom(this.service);
    });
  }

  private take(attempt: LiveAttempt, result: AttemptResult): void {
    const { target, record, isTrial } = attempt;
    this.lastResult = result;
    record.endedAt = this.context.environment.clock.now();
    record.result = result;
    observeAttempt(this.context, this.request.route, this.options.latency, target, record);
    if (isConnectionLost(result)) {
      this.context.decisions.connectionLost(this.request, this.service, record);
    }
    // Its own result is no news to it: woken for it, it would go on before it has taken it.
    if (isTrial) this.context.crashGuard.cancelNews(this.request.fingerprint, this.onNews);
    noteEvidence(this.context, { request: this.request, target, result, isTrial });
    if (result.kind === 'answered') {
      if (this.outcome === undefined) this.finish({ kind: 'answered', answer: result.answer });
      return;
    }
    this.note(target, result);
    if (this.outcome === undefined) this.goOn(result);
  }

  /** Once what the replica wrote before its end is here; not where its loss was false word. */
  private giveUpSoon(attempt: LiveAttempt): void {
    const { clock } = this.context.environment;
    clock.setTimer(LAST_WORDS_MS, () => {
      const isLost = attempt.target.hasLostAddress(clock.now());
      if (!isLost || !this.live.has(attempt)) return;
      attempt.hasReplicaEnded = true;
      attempt.abort.abort(NOT_WANTED);
    });
  }

  private note(target: ReplicaTarget, result: Exclude<AttemptResult, { kind: 'answered' }>): void {
    if (result.kind === 'notRun') {
      this.reason = result.reason;
      if (result.reason !== NotRunReason.Unreachable) this.refusals += 1;
      if (result.reason !== NotRunReason.WrongReplica) this.notRunBy.add(target);
      return;
    }
    this.mayHaveRun = true;
    this.possibleRuns += 1;
    if (result.kind === 'failedAnswer') this.failedAnswer = result.answer;
    this.reason = result.kind === 'broken' ? result.reason : result.kind;
  }

  /** After an attempt that brought no answer: another one, the wait for those in flight, or the end. */
  private goOn(result: AttemptResult): void {
    if (this.maySendAfter(result)) {
      if (this.launchAgain(this.budgetAfter(result))) return;
      if (this.live.size === 0 && this.retryLater(result)) return;
    }
    if (this.live.size === 0) this.finish(this.failure());
  }

  private maySendAfter(result: AttemptResult): boolean {
    if (!this.context.mechanisms.retries) return false;
    const wasNotRun = result.kind === 'notRun';
    const isRepeatable = this.request.route.execution === 'repeatable';
    const isAllowed = wasNotRun ? this.refusals <= MAXIMUM_REFUSALS : isRepeatable;
    return isAllowed && this.mayRunMore;
  }

  /** What never reached a replica costs the replicas nothing when it is sent again. */
  private budgetAfter(result: AttemptResult): FleetShares | undefined {
    const neverArrived = result.kind === 'notRun' && result.reason === NotRunReason.Unreachable;
    return neverArrived ? undefined : this.context.shares;
  }

  /** Tries the replicas that did not run it once more after a pause; false when it is too late. */
  private retryLater(result: AttemptResult): boolean {
    const { clock, random } = this.context.environment;
    const pause = FIRST_RETRY_PAUSE_MS * 2 ** this.pauses * (0.5 + random.nextFloat());
    if (clock.now() + pause > this.options.retryUntil) return false;
    this.pauses += 1;
    this.retryTimer = clock.setTimer(pause, () => {
      if (this.outcome !== undefined || this.live.size > 0) return;
      for (const target of this.notRunBy) this.asked.delete(target);
      this.notRunBy.clear();
      this.goOn(result);
    });
    return true;
  }

  private failure(): RaceOutcome {
    return {
      kind: 'failed',
      mayHaveRun: this.mayRun,
      answer: this.failedAnswer,
      reason: this.reason,
    };
  }

  private finish(outcome: RaceOutcome): void {
    this.outcome = outcome;
    this.abortLive();
    this.options.onEnd(this);
  }

  private abortLive(): void {
    this.context.targets.cancelRoom(this.service, this.onRoom);
    this.context.crashGuard.cancelNews(this.request.fingerprint, this.onNews);
    this.retryTimer?.cancel();
    for (const attempt of this.live) this.letGo(attempt);
  }

  /**
   * Closing its connection ends an attempt at once, and costs the next request a new
   * connection. A replica without a queue is left to answer for a moment instead.
   */
  private letGo(attempt: LiveAttempt): void {
    const { target, abort } = attempt;
    const hasQueue = target.load !== undefined && target.load.waiting > 0;
    // One that is not written yet must never be: its caller may be told that it was not run.
    const mayLinger = this.context.mechanisms.lingering && isConnected(attempt);
    if (!mayLinger || hasQueue) {
      abort.abort(NOT_WANTED);
      return;
    }
    const { clock } = this.context.environment;
    clock.setTimer(LINGER_MS, () => abort.abort(NOT_WANTED));
  }
}
