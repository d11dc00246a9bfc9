/**
 * Gets one answer from one service: sends to its best replica, to another when
 * that fails or is late, and takes the first whole answer. A request that is not
 * repeatable is sent on only when it certainly was not run.
 */
import { choiceInputs, type AttemptRecord } from './attempt-record.js';
import type { AttemptResult, ReplicaAnswer } from './attempt-result.js';
import { NotRunReason } from './attempt-result.js';
import type { CallerRequest } from './caller-request.js';
import type { GatewayContext } from './gateway-context.js';
import type { ReplicaTarget } from './replica-target.js';
import type { RouteLatency } from './route-latency.js';

/** Sendings that no replica ran, beyond the attempts of the route. */
const MAXIMUM_REFUSALS = 2;

/** One attempt in flight. */
interface LiveAttempt {
  readonly target: ReplicaTarget;
  readonly abort: AbortController;
  readonly record: AttemptRecord;
}

/** How a race ended. */
export type RaceOutcome =
  | { readonly kind: 'answered'; readonly answer: ReplicaAnswer }
  | {
      readonly kind: 'failed';
      /** False only when it is certain that no replica ran it. */
      readonly mayHaveRun: boolean;
      /** A replica's own failure, when there is one. */
      readonly answer: ReplicaAnswer | undefined;
      readonly reason: string;
    };

/** See the module comment. */
export class ReplicaRace {
  outcome: RaceOutcome | undefined;
  /** Sendings so far, in their order. */
  readonly attempts: AttemptRecord[] = [];
  private readonly live = new Set<LiveAttempt>();
  private readonly asked: ReplicaTarget[] = [];
  private mayHaveRun = false;
  private possibleRuns = 0;
  private refusals = 0;
  private failedAnswer: ReplicaAnswer | undefined;
  private reason = 'no replica can take it';

  constructor(
    private readonly context: GatewayContext,
    private readonly request: CallerRequest,
    readonly service: string,
    private readonly latency: RouteLatency,
    private readonly onEnd: (race: ReplicaRace) => void,
  ) {}

  /** Sends for the first time, or as soon as a replica has room. */
  start(): void {
    this.context.shares.noteRequest(this.service);
    if (!this.launch()) this.waitForRoom();
  }

  /** Sends to another replica as well, when the budget has room; true when it did. */
  hedge(): boolean {
    const isDone = this.outcome !== undefined;
    if (isDone || this.request.route.execution !== 'repeatable' || !this.mayRunMore) return false;
    return this.launchAgain();
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
    return this.mayHaveRun || this.live.size > 0;
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

  private launchAgain(): boolean {
    const { shares } = this.context;
    const target = this.choose();
    if (target === undefined || !shares.takeSecondSend(this.service)) return false;
    this.send(target);
    return true;
  }

  private launch(): boolean {
    const target = this.choose();
    if (target === undefined) return false;
    this.send(target);
    return true;
  }

  private choose(): ReplicaTarget | undefined {
    const { choice, targets, shares } = this.context;
    return choice.choose({
      targets: targets.of(this.service),
      excluded: this.asked,
      usualLatency: this.latency.usual,
      maximumInFlight: shares.connectionsFor(this.request.table, this.service),
    });
  }

  private send(target: ReplicaTarget): void {
    const { clock } = this.context.environment;
    const sentAt = clock.now();
    const inputs = choiceInputs(target, sentAt);
    const record: AttemptRecord = { inputs, sentAt, endedAt: undefined, result: undefined };
    const attempt: LiveAttempt = { target, abort: new AbortController(), record };
    const number = target.begin(sentAt);
    target.warmChecks = 0;
    this.attempts.push(record);
    this.asked.push(target);
    this.live.add(attempt);
    void this.context.sender.send(this.request, target, attempt.abort.signal).then((result) => {
      target.end(number);
      this.live.delete(attempt);
      this.take(attempt, result);
      this.context.targets.notifyRoom(this.service);
    });
  }

  private take(attempt: LiveAttempt, result: AttemptResult): void {
    this.observe(attempt, result);
    if (result.kind === 'answered') {
      if (this.outcome === undefined) this.finish({ kind: 'answered', answer: result.answer });
      return;
    }
    this.note(result);
    if (this.outcome === undefined) this.goOn(result);
  }

  /** What the result says of the replica. */
  private observe({ target, record }: LiveAttempt, result: AttemptResult): void {
    const now = this.context.environment.clock.now();
    const { sentAt } = record;
    const elapsed = now - sentAt;
    record.endedAt = now;
    record.result = result;
    const ratio = elapsed / Math.max(this.latency.usual, 1);
    this.context.metrics.attempts.inc({ result: result.kind });
    this.noteLoad(target, sentAt);
    switch (result.kind) {
      case 'answered':
        this.latency.addAnswer(elapsed);
        target.noteLatency(ratio, now);
        target.noteUsable();
        return;
      case 'cancelled':
        this.latency.addUnfinished(elapsed);
        target.noteUnfinished(ratio, now);
        return;
      case 'failedAnswer':
        return;
      case 'notRun':
        if (result.reason !== NotRunReason.Refused) target.noteFailure(now);
        return;
      case 'broken':
        target.noteFailure(now);
    }
  }

  /** Only what was said in answer to this sending. */
  private noteLoad({ load }: ReplicaTarget, sentAt: number): void {
    const [firstShard] = this.request.route.shards ?? [];
    const isNew = load !== undefined && load.at > sentAt;
    if (firstShard !== undefined && isNew) this.context.shedding.note(firstShard, load);
  }

  private note(result: Exclude<AttemptResult, { kind: 'answered' }>): void {
    if (result.kind === 'notRun') {
      this.refusals += 1;
      this.reason = result.reason;
      return;
    }
    this.mayHaveRun = true;
    this.possibleRuns += 1;
    if (result.kind === 'failedAnswer') this.failedAnswer = result.answer;
    this.reason = result.kind === 'broken' ? result.reason : result.kind;
  }

  /** After an attempt that brought no answer: another one, the wait for those in flight, or the end. */
  private goOn(result: AttemptResult): void {
    const wasNotRun = result.kind === 'notRun';
    const isRepeatable = this.request.route.execution === 'repeatable';
    const maySend = wasNotRun ? this.refusals <= MAXIMUM_REFUSALS : isRepeatable;
    if (maySend && this.mayRunMore && this.launchAgain()) return;
    if (this.live.size === 0) this.finish(this.failure());
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
    this.onEnd(this);
  }

  private abortLive(): void {
    this.context.targets.cancelRoom(this.service, this.onRoom);
    for (const { abort } of this.live) abort.abort();
  }
}
